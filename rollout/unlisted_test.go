package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutUnlistedRejectsNothing has a router that just started lead in the last stage
// before it knows any servers: that it knows none of the target's does not end the
// roll-out, but that there are none any more does.
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
