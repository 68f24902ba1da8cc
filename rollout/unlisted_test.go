package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutUnlistedRejectsNothing verifies that a router that starts and leads in the last
// stage does not reject the target for lack of servers before it has received a server list,
// but does if the list has none of the target.
func TestRolloutUnlistedRejectsNothing(t *testing.T) {
	order := Order{Service: "s", Target: newVersion, Within: time.Minute, Made: "1", Revision: 2, State: InProgress, StateTarget: newVersion}
	m := NewMachine(Bounds{Share: 0.1})
	m.Update(RecordsMsg{Records: []Record{{Service: "s", Revision: 1, InUse: []string{oldVersion}, Target: newVersion, Made: "1"}}})
	m.Update(OrdersMsg{Orders: []Order{order}})
	m.Update(PeerReportsMsg{Reports: []Report{{Service: "s", Order: order.Key(), Routers: 1, MaxStage: All, MinAppliedStage: All}}})
	rejected := func(from time.Duration) bool {
		for now := from; now < from+2*missingServersTimeout; now += TickInterval {
			m.Update(TickMsg{Now: now, Leads: true, Routers: 2})
		}
		return m.Snapshots()[0].Rejecting
	}
	require.False(t, rejected(0))
	m.Update(VersionsMsg{Now: 2 * missingServersTimeout, Services: map[string][]string{"s": {newVersion, oldVersion}}})
	require.False(t, rejected(2*missingServersTimeout))
	m.Update(VersionsMsg{Now: 4 * missingServersTimeout, Services: map[string][]string{"s": {oldVersion}}})
	require.True(t, rejected(4*missingServersTimeout))
}
