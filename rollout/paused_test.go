package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callsFor has a leading machine that hears some routers of a fleet watch a service with
// many calls for a moment.
func newLeader(routers int) (m *Machine, tick func(now time.Duration)) {
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
	m, tick := newLeader(1)
	for now := time.Duration(0); now <= 200*time.Millisecond; now += TickInterval {
		for range 4 {
			m.Update(ResponseMsg{Now: now, Service: "llm", Route: "r", Cohort: "a"})
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
		m, tick := newLeader(routers)
		for now := time.Duration(0); now <= newTimeline(6*time.Second).rampAt+TickInterval; now += TickInterval {
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
	for _, c := range []struct {
		routers, calls, every int // calls at the leading router in each of so many ticks
		judged                int // answers of all others
		quiet                 bool
	}{
		{routers: 3, calls: 0, every: 1, quiet: true},
		{routers: 3, calls: 3, every: 1, quiet: false},
		// None of the leading router's answers can be judged, and few of the others'.
		{routers: 3, calls: 1, every: 1, judged: 9, quiet: false},
		// Of twenty requests in a large fleet one came to the leading router.
		{routers: 384, calls: 1, every: 100, judged: 20, quiet: true},
	} {
		m, _ := newLeader(c.routers)
		others := Report{Service: "llm", Order: m.Reports()[0].Order, Routers: uint32(c.routers - 1), MaxStage: Trial, MinAppliedStage: Trial}
		others.Cells = []Cell{{Route: "r", Cohort: "a", Good: uint32(c.judged)}}
		requests := 0
		for tick := 0; time.Duration(tick)*TickInterval < newTimeline(6*time.Second).latestRampAt; tick++ {
			now := time.Duration(tick) * TickInterval
			if tick%c.every == 0 {
				requests += c.calls
			}
			m.Update(PeerReportsMsg{Now: now, Reports: []Report{others}})
			m.Update(TickMsg{Now: now, Leads: true, Routers: c.routers, Requests: map[string]int{"llm": requests}})
		}
		require.Equal(t, c.quiet, m.Snapshots()[0].Stage > Trial, "%+v", c)
	}
}

// TestRolloutBusyElsewhereIsNotQuiet has three routers of which the leading one is asked little, and
// no answer of which can be judged: a service that the others are asked much of must not be moved
// without evidence.
func TestRolloutBusyElsewhereIsNotQuiet(t *testing.T) {
	for _, atPeers := range []int{0, 1} { // requests at each other router, a tick
		var routers []*Machine
		for range 3 {
			m, _ := newLeader(3)
			routers = append(routers, m)
		}
		for tick := 0; time.Duration(tick)*TickInterval < newTimeline(6*time.Second).latestRampAt; tick++ {
			now := time.Duration(tick) * TickInterval
			for i, m := range routers {
				peers := Report{}
				for _, other := range routers {
					if other != m {
						peers = Merge(peers, other.Reports()[0])
					}
				}
				m.Update(PeerReportsMsg{Now: now, Reports: []Report{peers}})
				requests := tick / 10
				if i > 0 {
					requests += atPeers * tick
				}
				m.Update(TickMsg{Now: now, Leads: i == 0, Routers: len(routers), Requests: map[string]int{"llm": requests}})
			}
		}
		require.Equal(t, atPeers == 0, routers[0].Snapshots()[0].Stage > Trial, "%d a tick elsewhere", atPeers)
	}
}
