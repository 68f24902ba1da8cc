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
	others    map[string][]Load // the last that each was told
	teams     map[string][]TeamUse
	rollouts  map[string][]rollout.Report
	copies    map[string]map[Copy]int // how often each was told of a copy
	off       map[string]bool         // without power
	flying    []flight
}

type flight struct {
	to  string
	msg ListMsg
}

// newNetwork makes routers in halls; the key of what a router has at a server is
// its number.
func newNetwork(halls ...string) *network {
	n := &network{exchanges: make(map[string]*Exchange), own: make(map[string][]Load), others: make(map[string][]Load), now: time.Second,
		teams: make(map[string][]TeamUse), off: make(map[string]bool),
		rollouts: make(map[string][]rollout.Report), copies: make(map[string]map[Copy]int)}
	for i, hall := range halls {
		r := Router{Address: fmt.Sprint("r", i), Hall: hall, Power: float64(1 + i%2)}
		n.routers = append(n.routers, r)
		n.exchanges[r.Address] = NewExchange(r)
		n.own[r.Address] = []Load{{Server: uint32(i), Running: int32(10 + i)}, {Server: 999, Pending: 1}}
	}
	return n
}

// knows tells a router which others are there.
func (n *network) knows(address string, there func(Router) bool) {
	var out []Router
	for _, r := range n.routers {
		if r.Address != address && there(r) {
			out = append(out, r)
		}
	}
	n.tell(address, RoutersMsg{Routers: out})
}

func (n *network) allKnow() {
	for _, r := range n.routers {
		n.knows(r.Address, func(Router) bool { return true })
	}
}

func (n *network) tell(address string, msg Msg) {
	for _, cmd := range n.exchanges[address].Update(msg) {
		switch cmd := cmd.(type) {
		case SendCmd:
			n.number++
			n.flying = append(n.flying, flight{to: cmd.To, msg: ListMsg{
				From: address, Hall: n.hallOf(address), Kind: cmd.Kind, Number: n.number, Loads: cmd.Loads, HasTeams: cmd.HasTeams, Teams: cmd.Teams,
				Region: cmd.Region, Base: cmd.Base, Rollouts: cmd.Rollouts, Copies: cmd.Copies,
			}})
		case PeerTotalsCmd:
			n.others[address] = cmd.Loads
			if cmd.HasTeams {
				n.teams[address], n.rollouts[address] = cmd.Teams, cmd.Rollouts
			}
			n.tellCopies(address, cmd.Copies)
		}
	}
}

func (n *network) tellCopies(address string, told []Copy) {
	for _, c := range told {
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

// deliver brings the i-th list under way.
func (n *network) deliver(i int) {
	f := n.flying[i]
	f.msg.Now = n.now
	n.tell(f.to, f.msg)
}

// round lets all tick and delivers what is under way as chosen.
func (n *network) round(arrives func(flight) bool) {
	n.now += RoundInterval
	for _, r := range n.routers {
		n.tell(r.Address, TickMsg{Now: n.now, Own: n.own[r.Address]})
	}
	for i := 0; i < len(n.flying); i++ {
		if arrives(n.flying[i]) {
			n.deliver(i)
		}
	}
	n.flying = n.flying[:0]
}

func always(flight) bool { return true }

// settled holds that every router knows exactly what all the others have.
func (n *network) settled(t require.TestingT) {
	for _, r := range n.routers {
		n.knowsAll(t, r)
	}
}

// knowsAll holds that a router knows exactly what all the others have.
func (n *network) knowsAll(t require.TestingT, r Router) {
	var lists [][]Load
	for _, other := range n.routers {
		if other.Address != r.Address {
			lists = append(lists, n.own[other.Address])
		}
	}
	require.Equal(t, sum(lists...), n.others[r.Address], "what %s knows", r.Address)
}

// heal runs as many rounds as it may take until old lists are dropped and avoided
// aggregators are tried again.
func (n *network) heal() {
	n.allKnow()
	for range int((LoadsTTL+avoidedFor)/RoundInterval) + 20 {
		n.round(always)
	}
}

// TestAllKnowAll has routers of three halls know within a few rounds what all the
// others have.
func TestAllKnowAll(t *testing.T) {
	n := newNetwork("a", "a", "a", "b", "b", "c")
	n.allKnow()
	for range 4 {
		n.round(always)
	}
	n.settled(t)
	require.Equal(t, "r1", n.exchanges["r0"].Aggregator())
	require.Equal(t, "r3", n.exchanges["r4"].Aggregator())
}

// TestNumberOfLists has a router send one list a round to one other, however many
// there are, and an aggregator one answer to each and one sum to each hall.
func TestNumberOfLists(t *testing.T) {
	halls := make([]string, 60)
	for i := range halls {
		halls[i] = fmt.Sprint("hall", i%3)
	}
	n := newNetwork(halls...)
	n.allKnow()
	sent := make(map[string]int)
	for range 10 {
		clear(sent)
		n.round(func(f flight) bool { sent[f.msg.From]++; return true })
	}
	for _, r := range n.routers {
		want := 1
		if n.exchanges[r.Address].Aggregator() == r.Address {
			want = 19 + 2
		}
		require.Equal(t, want, sent[r.Address], r.Address)
	}
}

// TestSilentAggregatorIsReplaced cuts an aggregator off: the others of its hall
// report to the next one, and come back after it has answered again.
func TestSilentAggregatorIsReplaced(t *testing.T) {
	n := newNetwork("a", "a", "a", "b")
	n.allKnow()
	cut := func(f flight) bool { return f.to != "r1" && f.msg.From != "r1" }
	for range 4 {
		n.round(always)
	}
	for range int((silence+LoadsTTL)/RoundInterval) + 6 {
		n.round(cut)
	}
	require.NotEqual(t, "r1", n.exchanges["r0"].Aggregator())
	require.Equal(t, sum(n.own["r2"], n.own["r3"]), n.others["r0"])
	n.heal()
	require.Equal(t, "r1", n.exchanges["r0"].Aggregator())
	n.settled(t)
}

// TestEveryLoss goes through all ways in which three routers may lose each list
// of two rounds, and each may not know one of the others: afterwards all is known
// again, and meanwhile nobody counts itself or anybody twice who has not changed
// its aggregator.
func TestEveryLoss(t *testing.T) {
	for _, halls := range [][]string{{"a", "a", "a"}, {"a", "a", "b"}, {"a", "b", "c"}} {
		for unknown := range 4 { // 3: all are known
			explore(t, halls, unknown)
		}
	}
}

// explore runs each pattern of losses: eight decisions, taken again in turn where
// two rounds bring more lists.
func explore(t *testing.T, halls []string, unknown int) {
	const decisions = 8
	for pattern := range 1 << decisions {
		n := newNetwork(halls...)
		for i, r := range n.routers {
			n.knows(r.Address, func(o Router) bool { return unknown == 3 || o.Address != n.routers[unknown].Address || i == 2 })
		}
		used := 0
		for range 2 {
			n.round(func(flight) bool {
				used++
				return pattern>>(used%decisions)&1 == 1
			})
			n.nothingTwice(t)
		}
		n.heal()
		n.settled(t)
	}
}

// nothingTwice holds that no router counts itself, nor more of another than it
// has. It holds while no router has changed its aggregator lately.
func (n *network) nothingTwice(t require.TestingT) {
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

// TestAnyTrouble loses, delays, repeats and reorders lists at random, restarts
// routers without what they knew and changes who knows whom; afterwards all is
// known again.
func TestAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 3, 6).Draw(t, "halls")
		n := newNetwork(halls...)
		n.allKnow()
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			switch rapid.IntRange(0, 9).Draw(t, "trouble") {
			case 0:
				r := rapid.SampledFrom(n.routers).Draw(t, "restarted")
				n.exchanges[r.Address] = NewExchange(r)
			case 1:
				r := rapid.SampledFrom(n.routers).Draw(t, "ignorant")
				away := rapid.SampledFrom(n.routers).Draw(t, "away")
				n.knows(r.Address, func(o Router) bool { return o.Address != away.Address })
			case 2:
				r := rapid.SampledFrom(n.routers).Draw(t, "changed")
				n.own[r.Address] = []Load{{Server: 5, Running: rapid.Int32Range(0, 9).Draw(t, "running")}}
			}
			old := append([]flight(nil), n.flying...)
			n.round(func(flight) bool { return rapid.Bool().Draw(t, "arrives") })
			n.flying = append(n.flying, old...)
			for i := range old {
				if rapid.Bool().Draw(t, "again") {
					n.deliver(i)
				}
			}
			n.flying = n.flying[:0]
		}
		n.heal()
		n.settled(t)
	})
}
