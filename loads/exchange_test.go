package loads

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// network carries lists between exchanges.
type network struct {
	now       time.Duration
	routers   []Router
	exchanges map[string]*Exchange
	number    uint64
	own       map[string][]Load
	others    map[string][]Load // by router; the last loads of its peers that it received
	teams     map[string][]TeamUse
	rollouts  map[string][]rollout.Report
	copies    map[string]map[Copy]int // by router; how often it received each copy
	down      map[string]bool         // powered off
	inFlight  []packet
}

type packet struct {
	to  string
	msg ListMsg
}

// newNetwork creates routers in halls. Each has a load at a server whose key is the router's index.
func newNetwork(halls ...string) *network {
	n := &network{exchanges: make(map[string]*Exchange), own: make(map[string][]Load), others: make(map[string][]Load), now: time.Second,
		teams: make(map[string][]TeamUse), down: make(map[string]bool),
		rollouts: make(map[string][]rollout.Report), copies: make(map[string]map[Copy]int)}
	for i, hall := range halls {
		r := Router{Address: fmt.Sprint("r", i), Hall: hall, Power: float64(1 + i%2)}
		n.routers = append(n.routers, r)
		n.exchanges[r.Address] = NewExchange(r)
		n.own[r.Address] = []Load{{Server: uint32(i), Running: int32(10 + i)}, {Server: 999, Pending: 1}}
	}
	return n
}

// setRouters sets the routers that a router considers alive.
func (n *network) setRouters(address string, alive func(Router) bool) {
	var out []Router
	for _, r := range n.routers {
		if r.Address != address && alive(r) {
			out = append(out, r)
		}
	}
	n.update(address, RoutersMsg{Routers: out})
}

func (n *network) connectAll() {
	for _, r := range n.routers {
		n.setRouters(r.Address, func(Router) bool { return true })
	}
}

func (n *network) update(address string, msg Msg) {
	for _, cmd := range n.exchanges[address].Update(msg) {
		switch cmd := cmd.(type) {
		case SendCmd:
			n.number++
			n.inFlight = append(n.inFlight, packet{to: cmd.To, msg: ListMsg{
				From: address, Hall: n.hallOf(address), Kind: cmd.Kind, Number: n.number, Loads: cmd.Loads, HasTeams: cmd.HasTeams, Teams: cmd.Teams,
				Region: cmd.Region, Base: cmd.Base, Rollouts: cmd.Rollouts, Copies: cmd.Copies,
			}})
		case PeerTotalsCmd:
			n.others[address] = cmd.Loads
			if cmd.HasTeams {
				n.teams[address], n.rollouts[address] = cmd.Teams, cmd.Rollouts
			}
			n.countReceivedCopies(address, cmd.Copies)
		}
	}
}

func (n *network) countReceivedCopies(address string, received []Copy) {
	for _, c := range received {
		if n.copies[address] == nil {
			n.copies[address] = make(map[Copy]int)
		}
		n.copies[address][c]++
	}
}

func (n *network) hallOf(address string) string {
	for _, r := range n.routers {
		if r.Address == address {
			return r.Hall
		}
	}
	return ""
}

// deliver delivers the i-th list in flight.
func (n *network) deliver(i int) {
	f := n.inFlight[i]
	f.msg.Now = n.now
	n.update(f.to, f.msg)
}

// round ticks all routers and delivers the lists in flight that arrives selects.
func (n *network) round(arrives func(packet) bool) {
	n.now += RoundInterval
	for _, r := range n.routers {
		n.update(r.Address, TickMsg{Now: n.now, Own: n.own[r.Address]})
	}
	for i := 0; i < len(n.inFlight); i++ {
		if arrives(n.inFlight[i]) {
			n.deliver(i)
		}
	}
	n.inFlight = n.inFlight[:0]
}

func always(packet) bool { return true }

// requireConverged checks that every router has received exactly the total loads of all the others.
func (n *network) requireConverged(t require.TestingT) {
	for _, r := range n.routers {
		n.requireReceivedAll(t, r)
	}
}

// requireReceivedAll checks that a router has received exactly the total loads of all the others.
func (n *network) requireReceivedAll(t require.TestingT, r Router) {
	var lists [][]Load
	for _, other := range n.routers {
		if other.Address != r.Address {
			lists = append(lists, n.own[other.Address])
		}
	}
	require.Equal(t, sum(lists...), n.others[r.Address], "received by %s", r.Address)
}

// recoverFaults connects all routers and runs enough rounds for old lists to expire and for avoided
// aggregators to be tried again.
func (n *network) recoverFaults() {
	n.connectAll()
	for range int((LoadsTTL+avoidDuration)/RoundInterval) + 20 {
		n.round(always)
	}
}

// TestRoutersConverge checks that routers of three halls receive the loads of all the others within
// four rounds.
func TestRoutersConverge(t *testing.T) {
	n := newNetwork("a", "a", "a", "b", "b", "c")
	n.connectAll()
	for range 4 {
		n.round(always)
	}
	n.requireConverged(t)
	require.Equal(t, "r1", n.exchanges["r0"].Aggregator())
	require.Equal(t, "r3", n.exchanges["r4"].Aggregator())
}

// TestNumberOfLists checks the number of lists per round, whatever the number of routers: a router
// sends one list to one other router, and an aggregator one answer to each router and one sum to
// each other hall.
func TestNumberOfLists(t *testing.T) {
	halls := make([]string, 60)
	for i := range halls {
		halls[i] = fmt.Sprint("hall", i%3)
	}
	n := newNetwork(halls...)
	n.connectAll()
	sent := make(map[string]int)
	for range 10 {
		clear(sent)
		n.round(func(f packet) bool { sent[f.msg.From]++; return true })
	}
	for _, r := range n.routers {
		want := 1
		if n.exchanges[r.Address].Aggregator() == r.Address {
			want = 19 + 2
		}
		require.Equal(t, want, sent[r.Address], r.Address)
	}
}

// TestSilentAggregatorIsReplaced isolates an aggregator. The others of its hall must report to the
// next one, and return once the first answers again.
func TestSilentAggregatorIsReplaced(t *testing.T) {
	n := newNetwork("a", "a", "a", "b")
	n.connectAll()
	isolated := func(f packet) bool { return f.to != "r1" && f.msg.From != "r1" }
	for range 4 {
		n.round(always)
	}
	for range int((aggregatorTimeout+LoadsTTL)/RoundInterval) + 6 {
		n.round(isolated)
	}
	require.NotEqual(t, "r1", n.exchanges["r0"].Aggregator())
	require.Equal(t, sum(n.own["r2"], n.own["r3"]), n.others["r0"])
	n.recoverFaults()
	require.Equal(t, "r1", n.exchanges["r0"].Aggregator())
	n.requireConverged(t)
}

// TestEveryLoss covers every pattern in which three routers lose lists in two rounds, and in which
// one router may be unknown to others. Meanwhile no router that has kept its aggregator may count
// itself, or another router twice; afterwards all routers must converge.
func TestEveryLoss(t *testing.T) {
	for _, halls := range [][]string{{"a", "a", "a"}, {"a", "a", "b"}, {"a", "b", "c"}} {
		for unknown := range 4 { // 3: none is unknown
			runLossPatterns(t, halls, unknown)
		}
	}
}

// runLossPatterns runs each pattern of eight lost or delivered lists. A pattern repeats if two
// rounds have more lists.
func runLossPatterns(t *testing.T, halls []string, unknown int) {
	const decisions = 8
	for pattern := range 1 << decisions {
		n := newNetwork(halls...)
		for i, r := range n.routers {
			n.setRouters(r.Address, func(o Router) bool { return unknown == 3 || o.Address != n.routers[unknown].Address || i == 2 })
		}
		used := 0
		for range 2 {
			n.round(func(packet) bool {
				used++
				return pattern>>(used%decisions)&1 == 1
			})
			n.requireNoDoubleCount(t)
		}
		n.recoverFaults()
		n.requireConverged(t)
	}
}

// requireNoDoubleCount checks that no router counts itself, or more of another router than that
// has. This holds only while no router has recently changed its aggregator.
func (n *network) requireNoDoubleCount(t require.TestingT) {
	for i, r := range n.routers {
		for _, l := range n.others[r.Address] {
			if l.Server == 999 {
				require.Less(t, int(l.Pending), len(n.routers))
				continue
			}
			require.NotEqual(t, uint32(i), l.Server, "%s counts itself", r.Address)
			require.LessOrEqual(t, l.Running, int32(10+l.Server), "%s counts another twice", r.Address)
		}
	}
}

// TestAnyTrouble loses, delays, repeats and reorders lists at random, restarts routers without
// their state, and changes which routers know one another. Afterwards all routers must converge.
func TestAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 3, 6).Draw(t, "halls")
		n := newNetwork(halls...)
		n.connectAll()
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			switch rapid.IntRange(0, 9).Draw(t, "trouble") {
			case 0:
				r := rapid.SampledFrom(n.routers).Draw(t, "restarted")
				n.exchanges[r.Address] = NewExchange(r)
			case 1:
				r := rapid.SampledFrom(n.routers).Draw(t, "ignorant")
				away := rapid.SampledFrom(n.routers).Draw(t, "away")
				n.setRouters(r.Address, func(o Router) bool { return o.Address != away.Address })
			case 2:
				r := rapid.SampledFrom(n.routers).Draw(t, "changed")
				n.own[r.Address] = []Load{{Server: 5, Running: rapid.Int32Range(0, 9).Draw(t, "running")}}
			}
			old := append([]packet(nil), n.inFlight...)
			n.round(func(packet) bool { return rapid.Bool().Draw(t, "arrives") })
			n.inFlight = append(n.inFlight, old...)
			for i := range old {
				if rapid.Bool().Draw(t, "again") {
					n.deliver(i)
				}
			}
			n.inFlight = n.inFlight[:0]
		}
		n.recoverFaults()
		n.requireConverged(t)
	})
}
