package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callsFor has a leading machine that hears some routers of a fleet watch a service with
// many calls for a moment.
func callsFor(routers int) (m *Machine, tick func(now time.Duration)) {
	m = NewMachine(Bounds{Share: 0.2, Slack: 50})
	m.Update(VersionsMsg{Services: map[string][]string{"llm": {"v1", "v2"}}})
	m.Update(RecordsMsg{Records: []Record{{Service: "llm", Revision: 1, InUse: []string{"v1"}}}})
	m.Update(OrdersMsg{Orders: []Order{{Service: "llm", Target: "v2", Within: 6 * time.Second, Made: "1", Revision: 2}}})
	tick = func(now time.Duration) { m.Update(TickMsg{Now: now, Leads: true, Routers: routers}) }
	return m, tick
}

// TestRolloutPausedIsNotQuiet stops the leading router for a while, under load: that it
// saw no answers meanwhile is no sign that nobody calls the service.
func TestRolloutPausedIsNotQuiet(t *testing.T) {
	m, tick := callsFor(1)
	for now := time.Duration(0); now <= 200*time.Millisecond; now += TickEvery {
		for range 4 {
			m.Update(AnswerMsg{Now: now, Service: "llm", Route: "r", Cohort: "a"})
		}
		tick(now)
	}
	tick(2300 * time.Millisecond)
	tick(2400 * time.Millisecond)
	require.Equal(t, Trial, m.Snapshots()[0].Stage)
}

// TestRolloutUnheardIsNotQuiet has a leading router see no calls itself and hear nothing
// of what another sees.
func TestRolloutUnheardIsNotQuiet(t *testing.T) {
	for _, routers := range []int{1, 2} {
		m, tick := callsFor(routers)
		for now := time.Duration(0); now <= newTimeline(6*time.Second).ramp+TickEvery; now += TickEvery {
			tick(now)
		}
		require.Equal(t, routers == 1, m.Snapshots()[0].Stage > Trial)
	}
}

// A version that fails three in ten of its answers was taken into use on 152 requests, of which no
// answer had been judged: "rollout_step stage=quarter new_good=0 new_bad=0 old_good=0 old_bad=0", and
// the same for half and all. Servers were cold, links cut and engines slow, so that all answers
// came from servers whose answers say nothing of a version; without any, the service was taken for
// one that nobody calls. Another such version then got 390 of 589 requests.
func TestRolloutUnjudgedIsNotQuiet(t *testing.T) {
	within := 6 * time.Second
	for calls, quiet := range map[int]bool{0: true, 1: false} {
		m, _ := callsFor(3)
		sent := 0
		hear := func(now time.Duration) {
			m.Update(OthersMsg{Now: now, Reports: []Report{{Service: "llm", Order: m.Reports()[0].Order, Routers: 2, Known: Trial, InForce: Trial}}})
		}
		for now := time.Duration(0); now <= newTimeline(within).lastRamp-TickEvery; now += TickEvery {
			sent += calls // in each tick, at this router
			hear(now)
			m.Update(TickMsg{Now: now, Leads: true, Routers: 3, Sent: map[string]int{"llm": sent}})
		}
		require.Equal(t, quiet, m.Snapshots()[0].Stage > Trial, "%d calls a tick", calls)
	}
}
