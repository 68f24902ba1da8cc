package detector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// fleet is routers in memory on a fake clock, which tell one another as package cluster does.
type fleet struct {
	random *rand.Rand
	nodes  []*node
	byName map[string]*node
	now    time.Duration
	events events
	order  uint64
	lost   float64                    // part of the datagrams
	cut    func(from, to int) bool    // one way
	delay  func(to int) time.Duration // how late a router reads
	rows   int                        // of news, told in all
	grams  int                        // datagrams of the detector's own, in all
}

type node struct {
	id       int
	address  string
	detector *Detector
	dead     bool
}

// Figures of package cluster, with those of a large fleet.
const (
	fanout   = 24
	every    = 240 * time.Millisecond
	newsMost = 80
	transit  = 5 * time.Millisecond
)

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newFleet returns routers that have all heard of one another.
func newFleet(routers int, seed uint64) *fleet {
	f := &fleet{
		byName: make(map[string]*node),
		random: rand.New(rand.NewPCG(seed, 1)),
		cut:    func(int, int) bool { return false },
		delay:  func(int) time.Duration { return 0 },
	}
	for i := range routers {
		address := fmt.Sprintf("10.%d.%d.1", i/250, i%250)
		n := &node{id: i, address: address, detector: New(address, 1)}
		f.nodes = append(f.nodes, n)
		f.byName[address] = n
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if other != n {
				n.detector.Update(HeartbeatMsg{Address: other.address, Incarnation: 1, AnswersProbes: true})
			}
		}
		f.after(time.Duration(f.random.Int64N(int64(every))), func() { f.beat(n) })
		f.after(time.Duration(f.random.Int64N(int64(TickInterval))), func() { f.tick(n, f.now) })
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{f.now + d, f.order, do})
}

// run plays until a time.
func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// beat sends a heartbeat to some others.
func (f *fleet) beat(n *node) {
	f.after(every, func() { f.beat(n) })
	if n.dead {
		return
	}
	sent := 0
	for _, i := range f.random.Perm(len(f.nodes)) {
		if to := f.nodes[i]; sent < fanout && n.detector.Alive(to.address, f.now) {
			f.send(n, to, nil)
			sent++
		}
	}
}

// tick ticks a router, which may be late by what it reads late.
func (f *fleet) tick(n *node, due time.Duration) {
	next := due + TickInterval
	f.after(next-f.now+f.delay(n.id), func() { f.tick(n, next) })
	if !n.dead {
		f.follow(n, n.detector.Update(TickMsg{Now: f.now, Late: f.now-due > 30*time.Millisecond}))
	}
}

// send brings a heartbeat with news to another router, which does something with it then.
func (f *fleet) send(from, to *node, then func()) {
	if from == to {
		return
	}
	news := from.detector.NextUpdates(f.now, to.address, newsMost)
	f.rows += len(news)
	if f.random.Float64() < f.lost || f.cut(from.id, to.id) {
		return
	}
	f.after(transit+f.delay(to.id), func() {
		if to.dead {
			return
		}
		f.follow(to, to.detector.Update(HeartbeatMsg{Now: f.now, Address: from.address, Incarnation: 1, AnswersProbes: true}))
		if len(news) > 0 {
			f.follow(to, to.detector.Update(GossipMsg{Now: f.now, Updates: news}))
		}
		if then != nil {
			then()
		}
	})
}

// follow does what a detector says.
func (f *fleet) follow(n *node, cmds []Cmd) {
	for _, cmd := range cmds {
		f.grams++
		switch cmd := cmd.(type) {
		case ProbeCmd:
			to := f.at(cmd.To)
			f.send(n, to, func() { f.grams++; f.send(to, n, nil) })
		case IndirectProbeCmd:
			through, of := f.at(cmd.Via), f.at(cmd.Target)
			f.send(n, through, func() {
				f.grams++
				f.send(through, of, func() { f.grams++; f.send(of, n, nil) })
			})
		case RefuteCmd:
			for range fanout {
				f.send(n, f.nodes[f.random.IntN(len(f.nodes))], nil)
			}
		}
	}
}

func (f *fleet) at(address string) *node { return f.byName[address] }

// known returns the part of pairs of a live router and a dead one in which the first knows, and
// in how many pairs of live ones the first takes the second for gone.
func (f *fleet) known() (part float64, falsely int) {
	knows, pairs := 0, 0
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, other := range f.nodes {
			gone := n != other && !n.detector.Alive(other.address, f.now)
			switch {
			case other.dead:
				pairs++
				if gone {
					knows++
				}
			case gone:
				falsely++
			}
		}
	}
	if pairs == 0 {
		return 1, falsely
	}
	return float64(knows) / float64(pairs), falsely
}
