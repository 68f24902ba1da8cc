package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/sched"
	"github.com/croftvale/croftvale/wire"
)

const (
	bigService = 86_400_000 // a day of slot time in milliseconds
	// baseMemory is the resident memory of an idle agent of a two-server fleet,
	// read from /proc/PID/status under Linux.
	baseMemory = 18_020 << 10
)

// Measure drives the real machines and codecs at the two-year size and returns
// the slopes. It takes some seconds.
func Measure() Slopes {
	var s Slopes
	s.measureBytes()
	s.measureRouter()
	s.measureAgent()
	s.measureHub()
	s.measureBundle()
	s.measureMemory()
	return s
}

func frame(m wire.Message) float64 {
	f, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	return float64(len(f))
}

func (s *Slopes) measureBytes() {
	s.measureFrames()
	s.FrameNS = perOp(func() { roundTrip(wire.Claim{Seq: 1 << 20, Work: 3, Team: 500, Class: 1}) })
	many := wire.Totals{Rows: make([]wire.ServiceRow, 100)}
	for i := range many.Rows {
		many.Rows[i] = wire.ServiceRow{Team: 500, Service: bigService}
	}
	s.FrameRowNS = (perOp(func() { roundTrip(many) }) - s.FrameNS) / 100
}

// measureFrames fills in what does not depend on the machine.
func (s *Slopes) measureFrames() {
	row := wire.DemandRow{Work: 3, Team: 500, Class: 1, Count: 40, OldestAge: 900}
	service := wire.ServiceRow{Team: 500, Service: bigService}
	s.ClaimBytes = frame(wire.Claim{Seq: 1 << 20, Work: 3, Team: 500, Class: 1})
	s.DemandBytes = frame(wire.Demand{Rows: []wire.DemandRow{row}})
	s.DemandRowBytes = frame(wire.Demand{Rows: []wire.DemandRow{row, row}}) - s.DemandBytes
	s.DenyBytes = frame(wire.Deny{Seq: 1 << 20, Row: row})
	s.FreeBytes = frame(wire.Free{Slots: 8})
	s.GrantBytes = float64(len(" 40/900"))
	s.AliveBytes = frame(wire.Alive{})
	s.ServiceBytes = frame(wire.Totals{Rows: nil})
	s.ServiceRowBytes = frame(wire.Totals{Rows: []wire.ServiceRow{service, service}}) - frame(wire.Totals{Rows: []wire.ServiceRow{service}})
	s.KeyBytes = frame(wire.KeyReserve{Request: 1 << 20, Work: 3, Digest: make([]byte, 16), Made: 1 << 41}) +
		frame(wire.KeyVerdict{Request: 1 << 20})
}

func roundTrip(m wire.Message) {
	f, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	if _, _, err := wire.Read(bufio.NewReader(bytes.NewReader(f))); err != nil {
		panic(err)
	}
}

// perOp returns nanoseconds of one call.
func perOp(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.NsPerOp())
}

func teamName(i int) fleet.Team { return fleet.Team(fmt.Sprintf("team-%04d", i)) }

func key(i int) fleet.DemandKey {
	return fleet.DemandKey{Work: "report", Team: teamName(i), Class: fleet.Ordinary}
}

// waitingRouter returns a router's machine at the two-year size, with the
// backlogged teams' requests waiting.
func waitingRouter() *queue.Machine {
	m := queue.New(queue.Config{MaxWaiting: 1 << 30, MaxWait: time.Hour})
	for a := range int(TwoYears.routerLinks()) {
		m.Update(queue.AgentUpMsg{Now: 1, Agent: agentName(a), Works: []fleet.Work{"report"}})
	}
	for i := range int(TwoYears.Backlogged) {
		for j := range 50 {
			m.Update(queue.RequestMsg{Now: 1, Request: queue.Request{ID: queue.RequestID(i*50 + j + 1), Key: key(i)}})
		}
	}
	return m
}

func agentName(i int) fleet.Name { return fleet.Name(fmt.Sprintf("engine-%05d", i)) }

func (s *Slopes) measureRouter() {
	m := waitingRouter()
	id := queue.RequestID(1 << 40)
	s.RequestNS = perOp(func() {
		id++
		k := key(int(id) % int(TwoYears.Backlogged))
		m.Update(queue.RequestMsg{Now: 2, Request: queue.Request{ID: id, Key: k}})
		claim := fleet.ClaimID{Agent: agentName(int(id) % int(TwoYears.routerLinks())), Seq: uint64(id)}
		for _, c := range m.Update(queue.ClaimMsg{Now: 2, Claim: claim, Key: k}) {
			if run, ok := c.(queue.RunCmd); ok {
				m.Update(queue.EndMsg{Now: 2, ID: run.ID})
			}
		}
	})
	now := time.Duration(2)
	s.RouterTickNS = perOp(func() {
		now += time.Microsecond
		m.Update(queue.TickMsg{Now: now})
	})
	var routers []fleet.Name
	for i := range int(TwoYears.Routers) {
		routers = append(routers, fleet.Name(fmt.Sprintf("router-%03d", i)))
	}
	s.RendezvousNS = perOp(func() { fleet.InRendezvous("links/engine-00001", routers, "router-007", int(TwoYears.Links)) })
}

// busyAgent returns an agent's machine at the two-year size.
func busyAgent() *sched.Machine {
	shares := map[fleet.Team]float64{}
	for i := range int(TwoYears.Teams) {
		shares[teamName(i)] = 1
	}
	m := sched.New(sched.Config{
		Slots: 8, Works: []fleet.Work{"report"}, Shares: shares, ShareEvery: 2 * time.Second,
		CatchUp: time.Hour, ClaimAhead: 1, PeerSlotRatio: map[fleet.Work]float64{"report": 10_000},
	})
	m.Update(sched.HealthMsg{Now: 1, Serving: true})
	for l := range int(TwoYears.Links) {
		r := fleet.Name(fmt.Sprintf("router-%03d", l))
		m.Update(sched.RouterUpMsg{Now: 1, Router: r, Hub: l < hubsPerHall})
		for i := range int(TwoYears.Backlogged) {
			m.Update(sched.DemandMsg{Now: 1, Router: r, Counts: []fleet.QueueCount{{Key: key(i), Waiting: 1 << 30}}})
		}
	}
	return m
}

func (s *Slopes) measureAgent() {
	m := busyAgent()
	now := time.Duration(1)
	seq := uint64(0)
	s.DecisionNS = perOp(func() {
		now += time.Millisecond
		seq++
		m.Update(sched.ArriveMsg{Now: now, Seq: seq, Remaining: 1 << 30})
		m.Update(sched.EndMsg{Now: now, Seq: seq})
	})
	s.AgentTickNS = perOp(func() {
		now += sched.TickInterval
		m.Update(sched.TickMsg{Now: now})
	})
	rows := make([]fleet.ServiceRow, int(TwoYears.Backlogged))
	for i := range rows {
		rows[i].Team = teamName(i)
	}
	s.TotalsRowNS = perOp(func() {
		for i := range rows {
			rows[i].Service++
		}
		m.Update(sched.TotalsMsg{Now: now, Rows: rows})
	}) / float64(len(rows))
}
