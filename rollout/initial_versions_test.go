package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutInitialVersionsExcludeRejected verifies that without a record, a version that the
// previous order rolled back does not count as in use.
func TestRolloutInitialVersionsExcludeRejected(t *testing.T) {
	m := NewMachine(Bounds{Share: 0.1})
	m.Update(VersionsMsg{Services: map[string][]string{"s": {oldVersion, newVersion, "v3"}}})
	m.Update(RecordsMsg{})
	order := Order{Service: "s", Target: "v3", Within: time.Minute, Made: "1", Revision: 2, State: RolledBack, StateTarget: newVersion}
	got := gatesOf(m.Update(OrdersMsg{Orders: []Order{order}}))
	require.Len(t, got, 1)
	require.Equal(t, []string{oldVersion}, got[0].InUse)
}
