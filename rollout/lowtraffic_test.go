package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newLeader returns a leading machine of a fleet with the given number of routers, and a
// function that delivers a tick.
func newLeader(routers int) (m *Machine, tick func(now time.Duration)) {
	m = NewMachine(Bounds{Share: 0.2, Slack: 50})
	m.Update(VersionsMsg{Services: map[string][]string{"llm": {"v1", "v2"}}})
	m.Update(RecordsMsg{Records: []Record{{Service: "llm", Revision: 1, InUse: []string{"v1"}}}})
	m.Update(OrdersMsg{Orders: []Order{{Service: "llm", Target: "v2", Within: 6 * time.Second, Made: "1", Revision: 2}}})
	tick = func(now time.Duration) { m.Update(TickMsg{Now: now, Leads: true, Routers: routers}) }
	return m, tick
}

// TestRolloutPausedIsNotQuiet pauses the leading router under load: the absence of responses
// during the pause must not count as low traffic.
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

// TestRolloutUnheardIsNotQuiet verifies that a leading router without requests of its own does
// not assume low traffic while the report of another router is missing.
func TestRolloutUnheardIsNotQuiet(t *testing.T) {
	for _, routers := range []int{1, 2} {
		m, tick := newLeader(routers)
		for now := time.Duration(0); now <= newTimeline(6*time.Second).rampAt+TickInterval; now += TickInterval {
			tick(now)
		}
		require.Equal(t, routers == 1, m.Snapshots()[0].Stage > Trial)
	}
}

// TestRolloutUnjudgedIsNotQuiet guards against moving a busy service without evidence. While its
// servers are cold, links are cut and engines are slow, no response counts as evidence, and a
// service without evidence was treated as one without callers. A version that failed 30% of its
// responses was then completed after 152 requests, none of them in the evidence (rollout_step with
// new_good=0 new_bad=0 old_good=0 old_bad=0 for the stages quarter, half and all); another one
// got 390 of 589 requests.
func TestRolloutUnjudgedIsNotQuiet(t *testing.T) {
	for _, c := range []struct {
		routers, requests, every int // requests at the leading router, once every so many ticks
		judged                   int // responses in the evidence of all other routers together
		lowTraffic               bool
	}{
		{routers: 3, requests: 0, every: 1, lowTraffic: true},
		{routers: 3, requests: 3, every: 1, lowTraffic: false},
		// None of the leading router's responses count as evidence, and few of the others'.
		{routers: 3, requests: 1, every: 1, judged: 9, lowTraffic: false},
		// In a large fleet, the leading router receives one of twenty requests.
		{routers: 384, requests: 1, every: 100, judged: 20, lowTraffic: true},
	} {
		m, _ := newLeader(c.routers)
		peers := Report{Service: "llm", Order: m.Reports()[0].Order, Routers: uint32(c.routers - 1), MaxStage: Trial, MinAppliedStage: Trial}
		peers.Cells = []Cell{{Route: "r", Cohort: "a", Good: uint32(c.judged)}}
		requests := 0
		for tick := 0; time.Duration(tick)*TickInterval < newTimeline(6*time.Second).latestRampAt; tick++ {
			now := time.Duration(tick) * TickInterval
			if tick%c.every == 0 {
				requests += c.requests
			}
			m.Update(PeerReportsMsg{Now: now, Reports: []Report{peers}})
			m.Update(TickMsg{Now: now, Leads: true, Routers: c.routers, Requests: map[string]int{"llm": requests}})
		}
		require.Equal(t, c.lowTraffic, m.Snapshots()[0].Stage > Trial, "%+v", c)
	}
}

// TestRolloutBusyElsewhereIsNotQuiet verifies that a service without any evidence isn't moved
// if the leading one of three routers receives few requests but the others receive many.
func TestRolloutBusyElsewhereIsNotQuiet(t *testing.T) {
	for _, atPeers := range []int{0, 1} { // requests a tick at each other router
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
		require.Equal(t, atPeers == 0, routers[0].Snapshots()[0].Stage > Trial, "%d requests a tick at each other router", atPeers)
	}
}
