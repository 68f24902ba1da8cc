package proof

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/sched"
	"github.com/stretchr/testify/require"
)

const (
	fairSlots  = 4
	fairAgents = 6
	fairDelay  = 1500 * time.Microsecond // one way, on every link
	fairShare  = 500 * time.Millisecond
	fairMaxRun = 2 * time.Second
)

// occurrence is something that happens at a time in a simulated fleet.
type occurrence struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// fairFleet is one router, one hub and several agents at a fixed distance,
// with teams that always have work waiting. Time is simulated.
type fairFleet struct {
	agenda  agenda
	seq     int
	now     time.Duration
	rng     *rand.Rand
	router  *queue.Machine
	hub     *ledger.Hub
	agents  []*sched.Machine
	running []int
	shares  map[fleet.Team]float64
	served  map[fleet.Team]time.Duration
	next    queue.RequestID
	classes map[fleet.Team]fleet.Class // Ordinary where a team is not named
	teamsOf map[runsOf]fleet.Team      // which team a claimed request is of
	arrived queue.RunCmd               // the request that an agent is handed
}

func newFairFleet(seed uint64, mode sched.Mode, shares map[fleet.Team]float64) *fairFleet {
	f := &fairFleet{
		rng: rand.New(rand.NewPCG(seed, 2)), shares: shares, now: time.Second,
		served: map[fleet.Team]time.Duration{}, running: make([]int, fairAgents),
		classes: map[fleet.Team]fleet.Class{}, teamsOf: map[runsOf]fleet.Team{},
	}
	f.router = queue.New(queue.Config{MaxWaiting: 1 << 20, MaxWait: time.Hour, MaxWaitingPerTeam: map[fleet.Team]int{}})
	f.hub = ledger.NewHub("r", boxHall)
	for i := range fairAgents {
		a := sched.New(sched.Config{
			Slots: fairSlots, Works: boxWorks[:1], Shares: shares, Mode: mode, ClaimAhead: 1,
			ShareEvery: fairShare, Delta: 10 * time.Second, UrgentBorrow: 2 * time.Second, CatchUp: time.Minute,
			PeerSlotRatio: map[fleet.Work]float64{boxWorks[0]: fairAgents - 1},
		})
		f.agents = append(f.agents, a)
		f.agentDo(i, a.Update(sched.RouterUpMsg{Now: f.now, Router: "r", Hub: true}))
		f.hub.Update(ledger.AgentUpMsg{Now: f.now, Source: f.source(i), Hall: boxHall})
		f.routerDo(f.router.Update(queue.AgentUpMsg{Now: f.now, Agent: f.name(i), Hall: boxHall, Works: boxWorks[:1]}))
		f.agentDo(i, a.Update(sched.HealthMsg{Now: f.now, Serving: true}))
	}
	f.after(queue.TickEvery, f.tick)
	return f
}

func (f *fairFleet) name(i int) fleet.Name { return fleet.Name(rune('a' + i)) }

func (f *fairFleet) index(n fleet.Name) int { return int(n[0] - 'a') }

func (f *fairFleet) source(i int) ledger.Source {
	return ledger.Source{Agent: f.name(i), Incarnation: 1}
}

func (f *fairFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.agenda, occurrence{f.now + d, f.seq, do})
}

// run lets simulated time pass.
func (f *fairFleet) run(until time.Duration) {
	for f.agenda[0].at <= until {
		o := heap.Pop(&f.agenda).(occurrence)
		f.now = o.at
		o.do()
	}
}

func (f *fairFleet) tick() {
	f.routerDo(f.router.Update(queue.TickMsg{Now: f.now}))
	for i, a := range f.agents {
		f.agentDo(i, a.Update(sched.TickMsg{Now: f.now}))
	}
	for _, c := range f.hub.Update(ledger.TickMsg{Now: f.now, ShareEvery: fairShare}) {
		if t, ok := c.(ledger.TotalsCmd); ok {
			f.after(fairDelay, func() { f.totals(t) })
		}
	}
	f.after(queue.TickEvery, f.tick)
}

func (f *fairFleet) totals(t ledger.TotalsCmd) {
	i := f.index(t.Agent)
	f.agentDo(i, f.agents[i].Update(sched.TotalsMsg{Now: f.now, Rows: t.Rows}))
}

// ask brings one request of a team.
func (f *fairFleet) ask(team fleet.Team) {
	f.next++
	class, ok := f.classes[team]
	if !ok {
		class = fleet.Ordinary
	}
	key := fleet.DemandKey{Work: boxWorks[0], Team: team, Class: class}
	f.routerDo(f.router.Update(queue.ArriveMsg{Now: f.now, Request: queue.Request{ID: f.next, Key: key}}))
}

func (f *fairFleet) routerDo(cmds []queue.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case queue.DemandCmd:
			f.after(fairDelay, func() {
				i := f.index(c.Agent)
				f.agentDo(i, f.agents[i].Update(sched.DemandMsg{Now: f.now, Router: "r", Counts: c.Counts}))
			})
		case queue.DenyCmd:
			f.after(fairDelay, func() {
				i := f.index(c.Claim.Agent)
				f.agentDo(i, f.agents[i].Update(sched.DenyMsg{Now: f.now, Seq: c.Claim.Seq, Count: c.Count}))
			})
		case queue.RunCmd:
			f.after(fairDelay, func() {
				i := f.index(c.Claim.Agent)
				f.teamOf(i, c)
				f.arrived = c
				f.agentDo(i, f.agents[i].Update(sched.ArriveMsg{
					Now: f.now, Seq: c.Claim.Seq, Key: c.Remaining.Key, Remaining: c.Remaining.Waiting, OldestAge: c.Remaining.OldestAge,
				}))
			})
		}
	}
}

// runsOf names a claim.
type runsOf struct {
	agent int
	seq   uint64
}

func (f *fairFleet) teamOf(agent int, c queue.RunCmd) {
	f.teamsOf[runsOf{agent, c.Claim.Seq}] = c.Remaining.Key.Team
}

func (f *fairFleet) agentDo(i int, cmds []sched.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case sched.ClaimCmd:
			f.after(fairDelay, func() {
				claim := fleet.ClaimID{Agent: f.name(i), Incarnation: 1, Seq: c.Seq}
				f.routerDo(f.router.Update(queue.ClaimMsg{Now: f.now, Claim: claim, Key: c.Key}))
			})
		case sched.FreeCmd:
			f.after(fairDelay, func() {
				f.routerDo(f.router.Update(queue.FreeMsg{Now: f.now, Agent: f.name(i), Incarnation: 1, Slots: c.Slots, First: c.First}))
			})
		case sched.ServiceCmd:
			f.after(fairDelay, func() {
				f.hub.Update(ledger.ServiceMsg{Now: f.now, Source: f.source(i), Hall: boxHall, Rows: c.Rows})
			})
		case sched.StartCmd:
			f.start(i, c.Seq)
		case sched.RejectCmd:
			back := queue.EndMsg{ID: f.arrived.ID, Outcome: queue.OutcomeNotRun}
			f.after(fairDelay, func() {
				back.Now = f.now
				f.routerDo(f.router.Update(back))
			})
		}
	}
}

// start runs a request for a heavy-tailed time; its team asks anew at the end.
func (f *fairFleet) start(i int, seq uint64) {
	team := f.teamsOf[runsOf{i, seq}]
	cost := min(time.Duration(float64(60*time.Millisecond)/(0.03+f.rng.Float64())), fairMaxRun)
	f.running[i]++
	f.after(cost, func() {
		f.served[team] += cost
		f.running[i]--
		f.ask(team)
		f.agentDo(i, f.agents[i].Update(sched.EndMsg{Now: f.now, Seq: seq}))
	})
}

// gap returns the greatest difference of service per share.
func (f *fairFleet) gap() time.Duration {
	var least, most time.Duration
	first := true
	for t, share := range f.shares {
		v := time.Duration(float64(f.served[t]) / share)
		if first {
			least, most, first = v, v, false
		}
		least, most = min(least, v), max(most, v)
	}
	return most - least
}

// bound is the stated bound: what all slots give while news goes round the
// fleet, and the longest run on every slot, at the least share.
func (f *fairFleet) bound() time.Duration {
	round := 2*fairShare + 4*queue.TickEvery + 2*fairDelay
	slots := time.Duration(fairAgents * fairSlots)
	least := 1.0
	for _, s := range f.shares {
		least = min(least, s)
	}
	return time.Duration(float64(slots*(round+fairMaxRun)) / least)
}

var fairShares = map[fleet.Team]float64{"ajax": 2, "basel": 1, "chur": 0.5, "davos": 1}

// flooded returns a fleet in which every team is backlogged and one floods.
func flooded(seed uint64, mode sched.Mode) *fairFleet {
	f := newFairFleet(seed, mode, fairShares)
	for _, t := range []fleet.Team{"ajax", "basel", "chur", "davos"} {
		n := 60
		if t == "basel" {
			n = 600
		}
		for range n {
			f.ask(t)
		}
	}
	return f
}

// TestGapStaysWithinTheBound holds the stated bound for two simulated minutes,
// and that the gap does not grow, on several seeds.
func TestGapStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(5) {
		f := flooded(seed, sched.ModeFleet)
		worst := time.Duration(0)
		for s := 5 * time.Second; s <= 2*time.Minute; s += 500 * time.Millisecond {
			f.run(s)
			worst = max(worst, f.gap())
		}
		t.Logf("seed %d: worst gap %v, bound %v", seed, worst, f.bound())
		require.Less(t, worst, f.bound()/10, "seed %d", seed)
	}
}

// TestGapGrowsWithoutSharing shows the test above failing once the mechanism
// is switched off.
func TestGapGrowsWithoutSharing(t *testing.T) {
	f := flooded(1, sched.ModeFIFO)
	f.run(2 * time.Minute)
	require.Greater(t, f.gap(), f.bound()/10)
}

// TestFloodDoesNotStarveASmallTeam lets one team of the least share ask one
// request at a time beside a flood: it never waits longer than a few runs.
func TestFloodDoesNotStarveASmallTeam(t *testing.T) {
	f := newFairFleet(3, sched.ModeFleet, fairShares)
	for range 2000 {
		f.ask("basel")
	}
	f.run(10 * time.Second)
	f.ask("chur")
	f.run(2 * time.Minute)
	require.Greater(t, f.served["chur"], 12*time.Second, "one request at a time for 110 s")
}

// TestIdlingEarnsNoCredit lets a team come back after a minute of idling: the
// others keep their parts.
func TestIdlingEarnsNoCredit(t *testing.T) {
	f := newFairFleet(4, sched.ModeFleet, fairShares)
	for range 100 {
		f.ask("basel")
		f.ask("davos")
	}
	f.run(time.Minute)
	before := f.served["basel"]
	for range 100 {
		f.ask("ajax")
	}
	f.run(time.Minute + 20*time.Second)
	// Twenty seconds of 24 slots, one part in four.
	require.Greater(t, f.served["basel"]-before, 20*24*time.Second/4*8/10)
}

// TestUrgentGainsNoShare lets one of two equal teams mark everything urgent.
func TestUrgentGainsNoShare(t *testing.T) {
	f := newFairFleet(5, sched.ModeFleet, map[fleet.Team]float64{"ajax": 1, "basel": 1})
	f.classes["ajax"] = fleet.Urgent
	for range 100 {
		f.ask("ajax")
		f.ask("basel")
	}
	f.run(10 * time.Second)
	early := f.served["ajax"] - f.served["basel"]
	f.run(2 * time.Minute)
	late := f.served["ajax"] - f.served["basel"]
	require.Less(t, late-early, 20*time.Second, "of 1,320 s each")
}

// TestNoSlotIdlesWhileWorkWaits counts running requests at every tick.
func TestNoSlotIdlesWhileWorkWaits(t *testing.T) {
	f := flooded(6, sched.ModeFleet)
	f.run(5 * time.Second)
	ticks, busy := 0, 0
	for s := 5 * time.Second; s < time.Minute; s += 10 * time.Millisecond {
		f.run(s)
		for _, n := range f.running {
			ticks += fairSlots
			busy += n
		}
	}
	require.Greater(t, float64(busy)/float64(ticks), 0.99)
}
