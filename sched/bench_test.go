package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// newBackloggedMachine returns a machine in which a tenth of the teams are
// backlogged at every router and no slot is free.
func newBackloggedMachine(teams, links int) (*Machine, []fleet.Team) {
	shares := map[fleet.Team]float64{}
	var names []fleet.Team
	for i := range teams {
		n := fleet.Team(fmt.Sprintf("team-%04d", i))
		names = append(names, n)
		shares[n] = 1
	}
	m := New(Config{
		Slots: 8, Works: []fleet.Work{"report"}, Shares: shares, ShareEvery: time.Second,
		CatchUp: time.Hour, ClaimAhead: 1, PeerSlotRatio: map[fleet.Work]float64{"report": 100},
	})
	m.Update(HealthMsg{Now: 1, Serving: true})
	for l := range links {
		r := fleet.Name(fmt.Sprintf("router-%03d", l))
		m.Update(RouterUpMsg{Now: 1, Router: r, Hub: l < 2})
		for i := 0; i < teams; i += 10 {
			m.Update(DemandMsg{Now: 1, Router: r, Counts: []fleet.QueueCount{{
				Key:     fleet.DemandKey{Work: "report", Team: names[i], Class: fleet.Ordinary},
				Waiting: 1 << 30,
			}}})
		}
	}
	return m, names
}

// BenchmarkDecision measures an agent's work per request: one arrival, and the
// end of the request with the claim of the next one.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{10, 540, 5000} {
		for _, links := range []int{3, 64, 700} {
			b.Run(fmt.Sprintf("teams=%d/links=%d", teams, links), func(b *testing.B) {
				m, _ := newBackloggedMachine(teams, links)
				now := time.Duration(1)
				seq := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					now += time.Millisecond
					seq++
					m.Update(ArriveMsg{Now: now, Seq: seq, Remaining: 1 << 30})
					m.Update(EndMsg{Now: now + time.Millisecond, Seq: seq})
				}
			})
		}
	}
}

// BenchmarkTotals measures one totals message with a row for every backlogged
// team.
func BenchmarkTotals(b *testing.B) {
	for _, teams := range []int{10, 540, 5000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			m, names := newBackloggedMachine(teams, 3)
			var rows []fleet.ServiceRow
			for i := 0; i < teams; i += 10 {
				rows = append(rows, fleet.ServiceRow{Team: names[i]})
			}
			now := time.Duration(1)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				for i := range rows {
					rows[i].Service += time.Millisecond
				}
				m.Update(TotalsMsg{Now: now, Rows: rows})
			}
		})
	}
}

// BenchmarkTick measures the tick that an agent runs 20 times a second,
// independent of load.
func BenchmarkTick(b *testing.B) {
	for _, teams := range []int{10, 540, 5000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			m, _ := newBackloggedMachine(teams, 64)
			now := time.Duration(1)
			b.ReportAllocs()
			for b.Loop() {
				now += TickInterval
				m.Update(TickMsg{Now: now})
			}
		})
	}
}
