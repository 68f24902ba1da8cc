package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutOfVersionInUseServesMeanwhile shows that a version in use gets requests from
// the order for it until a leader raises the stage, and where the order makes no sense.
func TestRolloutOfVersionInUseKeepsServing(t *testing.T) {
	for _, within := range []time.Duration{time.Minute, 0} {
		m := NewMachine(Bounds{Share: 0.1})
		m.Update(VersionsMsg{Services: map[string][]string{"s": {oldVersion}}})
		m.Update(RecordsMsg{Records: []Record{{Service: "s", Revision: 1, InUse: []string{oldVersion}}}})
		m.Update(OrdersMsg{})
		gates := gatesOf(m.Update(OrdersMsg{Orders: []Order{{Service: "s", Target: oldVersion, Within: within, Made: "1", Revision: 2}}}))
		gates = append(gates, gatesOf(m.Update(TickMsg{Now: TickInterval}))...)
		for _, g := range gates {
			require.NotEqual(t, oldVersion, g.Target, "its servers are closed and there are no others")
		}
	}
}
