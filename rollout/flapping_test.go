package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutReturningRouterCountsOnce verifies that the responses of a router whose reports
// repeatedly stop and resume count once: a few bad ones do not end a rollout, and stay in the
// evidence.
func TestRolloutReturningRouterCountsOnce(t *testing.T) {
	order := Order{Service: "s", Target: newVersion, Within: time.Minute, Made: "1", Revision: 2}
	m := NewMachine(Bounds{Share: 0.1})
	m.Update(VersionsMsg{Services: map[string][]string{"s": {oldVersion, newVersion}}})
	m.Update(RecordsMsg{Records: []Record{{Service: "s", Revision: 1, InUse: []string{oldVersion}}}})
	m.Update(OrdersMsg{Orders: []Order{order}})
	peer := Report{Service: "s", Order: order.Key(), Routers: 1, MaxStage: Trial, MinAppliedStage: Trial}
	for _, cohort := range []string{"x", "y", "z"} {
		peer.Cells = append(peer.Cells,
			Cell{Route: "a", Cohort: cohort, Target: true, Good: 3, Bad: 1},
			Cell{Route: "a", Cohort: cohort, Good: 300, Bad: 3})
	}
	for now := TickInterval; now < 19*time.Second; now += TickInterval {
		var received []Report
		if now%(3*time.Second) < 1500*time.Millisecond {
			received = append(received, peer)
		}
		m.Update(PeerReportsMsg{Now: now, Reports: received})
		for _, c := range m.Update(TickMsg{Now: now, Leads: true, Routers: 2}) {
			if step, ok := c.(StepCmd); ok {
				require.NotEqual(t, StepRejected, step.Step, step.Cause)
			}
		}
	}
	require.Equal(t, Tally{Good: 9, Bad: 3}, m.services["s"].rollout.all.total(true))
}
