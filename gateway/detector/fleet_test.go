package detector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// fleet simulates routers in memory on a fake clock. They exchange datagrams as package cluster
// does.
type fleet struct {
	random    *rand.Rand
	nodes     []*node
	byAddress map[string]*node
	now       time.Duration
	events    events
	order     uint64                     // number of events scheduled; orders events of the same time
	lossRate  float64                    // fraction of the datagrams that is lost
	blocked   func(from, to int) bool    // one direction
	delay     func(to int) time.Duration // how late a router reads
	updates   int                        // total updates sent
	datagrams int                        // total datagrams other than heartbeats
}

type node struct {
	id       int
	address  string
	detector *Detector
	dead     bool
}

// Values of package cluster in a large fleet.
const (
	fanout            = 24
	heartbeatInterval = 240 * time.Millisecond
	maxUpdates        = 80
	latency           = 5 * time.Millisecond
)

type event struct {
	at    time.Duration
	order uint64
	run   func()
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

// newFleet returns routers that have all received a heartbeat of one another.
func newFleet(routers int, seed uint64) *fleet {
	f := &fleet{
		byAddress: make(map[string]*node),
		random:    rand.New(rand.NewPCG(seed, 1)),
		blocked:   func(int, int) bool { return false },
		delay:     func(int) time.Duration { return 0 },
	}
	for i := range routers {
		address := fmt.Sprintf("10.%d.%d.1", i/250, i%250)
		n := &node{id: i, address: address, detector: New(address, 1)}
		f.nodes = append(f.nodes, n)
		f.byAddress[address] = n
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if other != n {
				n.detector.Update(HeartbeatMsg{Address: other.address, Incarnation: 1, AnswersProbes: true})
			}
		}
		f.schedule(time.Duration(f.random.Int64N(int64(heartbeatInterval))), func() { f.sendHeartbeats(n) })
		f.schedule(time.Duration(f.random.Int64N(int64(TickInterval))), func() { f.tick(n, f.now) })
	}
	return f
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{f.now + d, f.order, do})
}

// run processes events until a time.
func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// sendHeartbeats sends a heartbeat to some other routers.
func (f *fleet) sendHeartbeats(n *node) {
	f.schedule(heartbeatInterval, func() { f.sendHeartbeats(n) })
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

// tick ticks a router. A router that reads late also ticks late.
func (f *fleet) tick(n *node, due time.Duration) {
	next := due + TickInterval
	f.schedule(next-f.now+f.delay(n.id), func() { f.tick(n, next) })
	if !n.dead {
		f.execute(n, n.detector.Update(TickMsg{Now: f.now, Late: f.now-due > 30*time.Millisecond}))
	}
}

// send sends a heartbeat with updates to another router. It calls onArrival, unless nil, when the
// heartbeat arrives.
func (f *fleet) send(from, to *node, onArrival func()) {
	if from == to {
		return
	}
	updates := from.detector.NextUpdates(f.now, to.address, maxUpdates)
	f.updates += len(updates)
	if f.random.Float64() < f.lossRate || f.blocked(from.id, to.id) {
		return
	}
	f.schedule(latency+f.delay(to.id), func() {
		if to.dead {
			return
		}
		f.execute(to, to.detector.Update(HeartbeatMsg{Now: f.now, Address: from.address, Incarnation: 1, AnswersProbes: true}))
		if len(updates) > 0 {
			f.execute(to, to.detector.Update(GossipMsg{Now: f.now, Updates: updates}))
		}
		if onArrival != nil {
			onArrival()
		}
	})
}

// execute runs the commands of a detector.
func (f *fleet) execute(n *node, cmds []Cmd) {
	for _, cmd := range cmds {
		f.datagrams++
		switch cmd := cmd.(type) {
		case ProbeCmd:
			to := f.node(cmd.To)
			f.send(n, to, func() { f.datagrams++; f.send(to, n, nil) })
		case IndirectProbeCmd:
			via, target := f.node(cmd.Via), f.node(cmd.Target)
			f.send(n, via, func() {
				f.datagrams++
				f.send(via, target, func() { f.datagrams++; f.send(target, n, nil) })
			})
		case RefuteCmd:
			for range fanout {
				f.send(n, f.nodes[f.random.IntN(len(f.nodes))], nil)
			}
		}
	}
}

func (f *fleet) node(address string) *node { return f.byAddress[address] }

// detected returns the fraction of pairs of a live and a dead router in which the first has
// detected the failure, and the number of pairs of live routers in which the first counts the
// second as dead.
func (f *fleet) detected() (fraction float64, falsePositives int) {
	detections, pairs := 0, 0
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, other := range f.nodes {
			dead := n != other && !n.detector.Alive(other.address, f.now)
			switch {
			case other.dead:
				pairs++
				if dead {
					detections++
				}
			case dead:
				falsePositives++
			}
		}
	}
	if pairs == 0 {
		return 1, falsePositives
	}
	return float64(detections) / float64(pairs), falsePositives
}
