package loads

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// heartbeatTTL is how long the routers of a lossyNetwork consider another router alive without a
// heartbeat.
const heartbeatTTL = time.Second

// lossyNetwork is a network with regions in which lists are lost, delayed, reordered and repeated.
type lossyNetwork struct {
	*network
	random       *rand.Rand
	faultRate    float64            // fraction of the lists that is lost; as many are delayed, half of them also repeated
	blocked      map[[2]string]bool // by sender and receiver; nothing passes
	listsBlocked map[[2]string]bool // by sender and receiver; only heartbeats pass
	lastHeard    map[[2]string]time.Duration
	delayed      map[time.Duration][]packet
	rounds       int
	newCopies    map[string][]Copy // by router; for its next tick
	onSend       func(from string, f packet)
}

// newLossyNetwork creates routers at places like "north/a": a region and a hall.
func newLossyNetwork(seed uint64, places ...string) *lossyNetwork {
	s := &lossyNetwork{
		network: newNetwork(places...), random: rand.New(rand.NewPCG(seed, 1)), blocked: make(map[[2]string]bool),
		lastHeard: make(map[[2]string]time.Duration), delayed: make(map[time.Duration][]packet), newCopies: make(map[string][]Copy),
		listsBlocked: make(map[[2]string]bool),
	}
	for i := range s.routers {
		s.routers[i].Region, _, _ = strings.Cut(places[i], "/")
		s.restart(s.routers[i])
	}
	return s
}

func (s *lossyNetwork) restart(r Router) { s.exchanges[r.Address] = NewExchange(r) }

func (s *lossyNetwork) reachable(from, to string) bool {
	return !s.down[from] && !s.down[to] && !s.blocked[[2]string{from, to}]
}

// exchangeHeartbeats updates the routers that a router considers alive.
func (s *lossyNetwork) exchangeHeartbeats(r Router) {
	s.setRouters(r.Address, func(other Router) bool {
		pair := [2]string{other.Address, r.Address}
		if s.reachable(pair[0], pair[1]) {
			s.lastHeard[pair] = s.now
		}
		return s.lastHeard[pair] > 0 && s.now-s.lastHeard[pair] <= heartbeatTTL
	})
}

// run runs rounds and calls check, unless nil, after each.
func (s *lossyNetwork) run(rounds int, check func()) {
	for range rounds {
		s.now += RoundInterval
		s.rounds++
		for _, r := range s.routers {
			if !s.down[r.Address] {
				s.exchangeHeartbeats(r)
				s.update(r.Address, s.tick(r))
			}
		}
		s.inFlight = append(s.inFlight, s.delayed[s.now]...)
		delete(s.delayed, s.now)
		for i := 0; i < len(s.inFlight); i++ {
			s.transmit(i)
		}
		s.inFlight = s.inFlight[:0]
		if check != nil {
			check()
		}
	}
}

func (s *lossyNetwork) tick(r Router) TickMsg {
	tick := TickMsg{Now: s.now, Own: s.own[r.Address], Copies: s.newCopies[r.Address]}
	delete(s.newCopies, r.Address)
	if s.rounds%int(TeamsInterval/RoundInterval) == 0 {
		tick.HasTeams, tick.Teams, tick.Rollouts = true, teamsOf(r), rolloutsOf(r)
	}
	return tick
}

// rolloutsOf returns the report of a router. r2 reports the lowest applied stage.
func rolloutsOf(r Router) []rollout.Report {
	report := rollout.Report{Service: "chat", Order: 7, Routers: 1, MaxStage: rollout.Half, MinAppliedStage: rollout.Half, Age: time.Second, OldRunning: 3}
	if r.Address == "r2" {
		report.MinAppliedStage = rollout.Trial
	}
	report.Cells = []rollout.Cell{{Route: "route", Cohort: "hall", Target: true, Good: 5, Bad: 1}}
	return []rollout.Report{report}
}

// transmit delivers a list in flight, unless it is blocked, lost or delayed.
func (s *lossyNetwork) transmit(i int) {
	f := s.inFlight[i]
	if s.onSend != nil {
		s.onSend(f.msg.From, f)
	}
	if !s.reachable(f.msg.From, f.to) || s.listsBlocked[[2]string{f.msg.From, f.to}] {
		return
	}
	switch p := s.random.Float64(); {
	case p < s.faultRate:
		return
	case p < 1.5*s.faultRate:
		s.delay(f)
		return
	case p < 2*s.faultRate:
		s.delay(f)
	}
	s.deliver(i)
}

func (s *lossyNetwork) delay(f packet) {
	due := s.now + RoundInterval*time.Duration(1+s.random.IntN(3))
	s.delayed[due] = append(s.delayed[due], f)
}

// requireCountedAtMost checks that no router counts another one more than the given number of
// times, nor itself more than one time fewer.
func (s *lossyNetwork) requireCountedAtMost(t require.TestingT, limit int32) {
	for i, r := range s.routers {
		for _, l := range s.others[r.Address] {
			if l.Server == 999 || s.down[r.Address] {
				continue
			}
			most := limit * int32(10+l.Server)
			if l.Server == uint32(i) {
				most -= int32(10 + l.Server)
			}
			require.LessOrEqual(t, l.Running, most, "%s counts r%d", r.Address, l.Server)
		}
	}
}

// endAllFaults ends all faults and waits until avoided routers are tried again and old lists have
// expired.
func (s *lossyNetwork) endAllFaults() {
	clear(s.blocked)
	clear(s.down)
	clear(s.listsBlocked)
	s.faultRate = 0
	s.run(int((heartbeatTTL+avoidDuration+RegionTTL+regionTimeout)/RoundInterval), nil)
}

// requireRolloutsMerged checks that each router has received the rollout reports of all others,
// each once.
func (s *lossyNetwork) requireRolloutsMerged(t require.TestingT) {
	for _, r := range s.routers {
		var want []rollout.Report
		for _, other := range s.routers {
			if other.Address != r.Address && !s.down[other.Address] {
				want = mergeRollouts(want, rolloutsOf(other))
			}
		}
		if !s.down[r.Address] {
			require.Equal(t, want, s.rollouts[r.Address], "received by %s", r.Address)
		}
	}
}

var threeRegions = []string{
	"north/a", "north/a", "north/a", "north/b", "north/b",
	"east/c", "east/c", "east/d", "south/e", "south/e",
}

// TestRegionsConverge checks that routers of three regions receive the loads, teams and rollout
// reports of all others, each counted once.
func TestRegionsConverge(t *testing.T) {
	s := newLossyNetwork(1, threeRegions...)
	s.run(24, func() { s.requireCountedAtMost(t, 1) })
	s.requireConverged(t)
	s.requireRolloutsMerged(t)
	for _, r := range s.routers {
		require.EqualValues(t, 900, s.lastTeam(r.Address, "all").Offered)
	}
}

// TestRegionListsAreFew checks that one router of each region sends lists to one router of each
// other region, ten times per second.
func TestRegionListsAreFew(t *testing.T) {
	s := newLossyNetwork(1, threeRegions...)
	s.run(40, nil)
	sent := make(map[string]int)
	s.onSend = func(from string, f packet) {
		if s.region(from) != s.region(f.to) {
			require.Equal(t, RegionSum, f.msg.Kind)
			sent[from]++
		}
	}
	s.run(40, nil)
	require.Equal(t, map[string]int{"r1": 20, "r5": 20, "r9": 20}, sent)
}

func (s *lossyNetwork) region(address string) string {
	for _, r := range s.routers {
		if r.Address == address {
			return r.Region
		}
	}
	return ""
}

// TestSingleRegionEqualsNoRegion checks that routers that are all in one region send the same lists
// as without regions.
func TestSingleRegionEqualsNoRegion(t *testing.T) {
	var all [2][]string
	for i, region := range []string{"", "north"} {
		s := newLossyNetwork(1, region+"/a", region+"/a", region+"/b", region+"/b", region+"/c")
		for j := range s.routers {
			s.routers[j].Hall = strings.TrimPrefix(s.routers[j].Hall, region)
			s.restart(s.routers[j])
		}
		s.faultRate = 0.1
		s.onSend = func(from string, f packet) { all[i] = append(all[i], fmt.Sprint(from, f)) }
		s.run(100, nil)
	}
	require.Equal(t, all[0], all[1])
}

// TestRegionAggregatorLost powers off the aggregators of a region and of its halls in turn. The
// remaining routers must be counted again, each once, before the other routers have missed a
// heartbeat.
func TestRegionAggregatorLost(t *testing.T) {
	for _, lost := range []string{"r1", "r3", "r5", "r7", "r9"} {
		s := newLossyNetwork(1, threeRegions...)
		s.run(20, nil)
		s.down[lost] = true
		delete(s.own, lost)
		s.run(int((RegionTTL+regionTimeout)/RoundInterval), func() { s.requireCountedAtMost(t, 2) })
		for _, r := range s.routers {
			if !s.down[r.Address] {
				s.requireReceivedAll(t, r)
			}
		}
		s.requireRolloutsMerged(t)
	}
}

// TestRegionsCutOneWay permanently blocks the lists from one region's aggregator to another's, or
// everything that it receives. The regions must receive each other's lists through the next
// aggregators.
func TestRegionsCutOneWay(t *testing.T) {
	for name, cut := range map[string]func(from, to string) bool{
		"to another": func(from, to string) bool { return from == "r1" && to == "r5" },
		"of a hall":  func(from, to string) bool { return from < "r3" && to > "r4" },
		"deaf":       func(_, to string) bool { return to == "r1" },
	} {
		s := newLossyNetwork(1, threeRegions...)
		s.run(20, nil)
		for _, a := range s.routers {
			for _, b := range s.routers {
				s.blocked[[2]string{a.Address, b.Address}] = cut(a.Address, b.Address)
			}
		}
		s.run(int((heartbeatTTL+RegionTTL+regionTimeout)/RoundInterval), func() { s.requireCountedAtMost(t, 2) })
		s.run(200, func() {
			s.requireCountedAtMost(t, 1)
			require.Contains(t, s.others["r9"], Load{Server: 4, Running: 14}, name)
			if name != "deaf" { // the next router of its hall occasionally reports to r1 again
				require.Contains(t, s.others["r9"], Load{Server: 0, Running: 10}, name)
			}
			require.Contains(t, s.others["r6"], Load{Server: 4, Running: 14}, name)
			require.Contains(t, s.others["r4"], Load{Server: 6, Running: 16}, name)
		})
	}
}

// TestRegionsEveryLoss covers every pattern in which three regions of one router each lose lists
// between regions in two rounds, repeated six times. Meanwhile no router may be counted twice;
// afterwards all must converge.
func TestRegionsEveryLoss(t *testing.T) {
	const decisions = 12 // six lists in each of two rounds; the pattern repeats
	for pattern := range 1 << decisions {
		s := newLossyNetwork(1, "north/a", "east/b", "south/c")
		used := 0
		lose := func(f packet) bool {
			used++
			return pattern>>(used%decisions)&1 == 1
		}
		for range 12 {
			s.lossyRound(lose)
			s.requireCountedAtMost(t, 1)
		}
		s.run(2*int(TeamsInterval/RoundInterval), func() { s.requireCountedAtMost(t, 1) })
		s.requireConverged(t)
	}
}

// TestRegionOfOneCutOneWay blocks the lists from one single-router region to another. The lists in
// the other direction must still arrive.
func TestRegionOfOneCutOneWay(t *testing.T) {
	s := newLossyNetwork(1, "north/a", "east/b")
	s.run(20, nil)
	s.listsBlocked[[2]string{"r1", "r0"}] = true
	s.run(200, func() {
		require.Equal(t, s.own["r0"], s.others["r1"])
	})
	require.Empty(t, s.others["r0"])
}

// TestRegionSeesHallThatSwitchedAggregator has a region's aggregator leave its own hall unanswered,
// so that the hall switches to another one. Other regions must still receive the loads of the hall.
func TestRegionSeesHallThatSwitchedAggregator(t *testing.T) {
	s := newLossyNetwork(1, threeRegions...)
	s.run(20, nil)
	s.listsBlocked[[2]string{"r1", "r0"}], s.listsBlocked[[2]string{"r1", "r2"}] = true, true
	s.run(200, func() {
		s.requireCountedAtMost(t, 2)
		require.Equal(t, uint32(0), s.others["r9"][0].Server)
		require.Equal(t, uint32(2), s.others["r9"][2].Server)
	})
}

// TestRegionCountsTheDeafTwiceAtMost has a router of a large hall receive no lists, and thus no
// answers to its reports, so that it switches from one aggregator to the next. It may be counted
// through two of them, but not three.
func TestRegionCountsTheDeafTwiceAtMost(t *testing.T) {
	s := newLossyNetwork(1, largeHall...)
	s.run(20, nil)
	for _, r := range s.routers {
		s.listsBlocked[[2]string{r.Address, "r0"}] = true
	}
	s.run(200, func() { s.requireCountedAtMost(t, 2) })
}

// TestRegionCountsTheDeafBackTwiceAtMost has such a router receive nothing at all for each duration
// up to two seconds, and then everything again. It may never be counted more than twice.
func TestRegionCountsTheDeafBackTwiceAtMost(t *testing.T) {
	for rounds := range int(2 * time.Second / RoundInterval) {
		s := newLossyNetwork(uint64(rounds), largeHall...)
		s.run(20, nil)
		s.faultRate = 0.1
		for _, r := range s.routers {
			s.blocked[[2]string{r.Address, "r0"}] = true
		}
		s.run(rounds, func() { s.requireCountedAtMost(t, 2) })
		clear(s.blocked)
		s.run(40, func() { s.requireCountedAtMost(t, 2) })
	}
}

// largeHall has a hall with many routers that can become its aggregator.
var largeHall = []string{"north/a", "north/a", "north/a", "north/a", "north/a", "north/a", "north/b", "south/c"}

// lossyRound runs a round in which all routers report team usage, and delivers the lists that
// arrives selects.
func (s *lossyNetwork) lossyRound(arrives func(packet) bool) {
	s.now += TeamsInterval
	for _, r := range s.routers {
		s.exchangeHeartbeats(r)
		s.update(r.Address, TickMsg{Now: s.now, Own: s.own[r.Address], HasTeams: true})
	}
	for i := 0; i < len(s.inFlight); i++ {
		if arrives(s.inFlight[i]) {
			s.deliver(i)
		}
	}
	s.inFlight = s.inFlight[:0]
}

// TestRegionsUnderAnyTrouble blocks routers in one direction, kills and restarts them, while a
// tenth of all lists is lost and as many are delayed or repeated. Each fault begins after no router
// is avoided any longer because of the previous one. No router may be counted more than twice at
// any time, and each exactly once after all faults have ended.
func TestRegionsUnderAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.SliceOfN(rapid.SampledFrom(threeRegions), 1, 8).Draw(t, "places")
		places = append(places, "north/a", "south/e")
		s := newLossyNetwork(rapid.Uint64().Draw(t, "seed"), places...)
		s.run(20, nil)
		s.faultRate = 0.1
		for range rapid.IntRange(1, 3).Draw(t, "troubles") {
			one := rapid.SampledFrom(s.routers).Draw(t, "one").Address
			other := rapid.SampledFrom(s.routers).Draw(t, "other").Address
			switch rapid.IntRange(0, 3).Draw(t, "trouble") {
			case 0:
				s.blocked[[2]string{one, other}] = true
			case 1:
				for _, r := range s.routers {
					s.blocked[[2]string{one, r.Address}] = true
				}
			case 2:
				for _, r := range s.routers {
					s.blocked[[2]string{r.Address, one}] = true
				}
			case 3:
				s.down[one] = true
			}
			s.run(rapid.IntRange(1, 80).Draw(t, "rounds"), func() { s.requireCountedAtMost(t, 2) })
			s.endFault(one)
			s.run(int((avoidDuration+RegionTTL)/RoundInterval), func() { s.requireCountedAtMost(t, 2) })
		}
		s.endAllFaults()
		s.requireConverged(t)
		s.requireRolloutsMerged(t)
	})
}

// endFault ends a fault. A router that was powered off restarts.
func (s *lossyNetwork) endFault(one string) {
	clear(s.blocked)
	for _, r := range s.routers {
		if r.Address == one && s.down[one] {
			s.restart(r)
		}
	}
	clear(s.down)
}
