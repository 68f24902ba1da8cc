package rollouts

import (
	"testing"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestRolloutReadiness checks that a starting router is not complete until it has received
// orders, records and versions and each service with servers has a gate.
func TestRolloutReadiness(t *testing.T) {
	var s readiness
	for _, msg := range []rollout.Msg{
		rollout.VersionsMsg{Services: map[string][]string{"llm": {"v1"}, "app": {"v1"}}}, rollout.OrdersMsg{}, rollout.RecordsMsg{},
	} {
		require.False(t, s.complete())
		s.observe(msg)
	}
	s.recordGate("llm")
	s.recordGate("other")
	require.False(t, s.complete(), "one service has servers but no gate")
	s.recordGate("app")
	require.True(t, s.complete())
	s.observe(rollout.VersionsMsg{Services: map[string][]string{"llm": {"v1"}}})
	require.True(t, s.complete())
}
