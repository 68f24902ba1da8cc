package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// BenchmarkRound is one round of totals at a hub: every agent has reported a
// change in every backlogged team, a tenth of all.
func BenchmarkRound(b *testing.B) {
	for _, teams := range []int{10, 540} {
		for _, agents := range []int{12, 100, 770} {
			b.Run(fmt.Sprintf("teams=%d/agents=%d", teams, agents), func(b *testing.B) {
				benchmarkRound(b, teams, agents)
			})
		}
	}
}

func benchmarkRound(b *testing.B, teams, agents int) {
	h := NewHub("r", "a")
	now := time.Duration(0)
	var rows []fleet.ServiceRow
	for i := range teams {
		rows = append(rows, fleet.ServiceRow{Team: fleet.Team(fmt.Sprintf("team-%04d", i)), Service: 1})
	}
	source := func(a int) Source { return Source{Agent: fleet.Name(fmt.Sprintf("agent-%04d", a)), Incarnation: 1} }
	for a := range agents {
		h.Update(AgentUpMsg{Now: now, Source: source(a), Hall: "a"})
		h.Update(ServiceMsg{Now: now, Source: source(a), Hall: "a", Rows: rows})
	}
	now += warmupPeriod
	h.Update(TickMsg{Now: now})
	backlogged := rows[:max(teams/10, 1)]
	b.ReportAllocs()
	for b.Loop() {
		now += time.Second
		for i := range backlogged {
			backlogged[i].Service += time.Millisecond
		}
		for a := range agents {
			h.Update(ServiceMsg{Now: now, Source: source(a), Hall: "a", Rows: backlogged})
		}
		h.Update(TickMsg{Now: now})
	}
}
