package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// newBackloggedMachine returns a machine with agents that all run one work, and lines of a
// tenth of the teams in which requests wait.
func newBackloggedMachine(teams, agents int) (*Machine, []fleet.DemandKey) {
	m := New(Config{MaxWaiting: 1 << 30, MaxWait: time.Hour})
	for a := range agents {
		m.Update(AgentUpMsg{Now: 1, Agent: fleet.Name(fmt.Sprintf("agent-%04d", a)), Works: []fleet.Work{"report"}})
	}
	var keys []fleet.DemandKey
	for i := range max(teams/10, 1) {
		k := fleet.DemandKey{Work: "report", Team: fleet.Team(fmt.Sprintf("team-%04d", i)), Class: fleet.Ordinary}
		keys = append(keys, k)
		for j := range 50 {
			m.Update(ArriveMsg{Now: 1, Request: Request{ID: RequestID(i*50 + j + 1), Key: k}})
		}
	}
	return m, keys
}

// BenchmarkRequest is one request's arrival, claim and end.
func BenchmarkRequest(b *testing.B) {
	for _, teams := range []int{10, 540, 5000} {
		for _, agents := range []int{12, 100, 1000} {
			b.Run(fmt.Sprintf("teams=%d/agents=%d", teams, agents), func(b *testing.B) {
				m, keys := newBackloggedMachine(teams, agents)
				now := time.Duration(1)
				id := RequestID(1 << 40)
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					now += time.Microsecond
					id++
					i++
					k := keys[i%len(keys)]
					m.Update(ArriveMsg{Now: now, Request: Request{ID: id, Key: k}})
					claim := fleet.ClaimID{Agent: fleet.Name(fmt.Sprintf("agent-%04d", i%agents)), Seq: uint64(i)}
					for _, c := range m.Update(ClaimMsg{Now: now, Claim: claim, Key: k}) {
						if run, ok := c.(RunCmd); ok {
							m.Update(EndMsg{Now: now, ID: run.ID})
						}
					}
				}
			})
		}
	}
}

// BenchmarkTick is what a router does 20 times a second whatever happens.
func BenchmarkTick(b *testing.B) {
	for _, teams := range []int{10, 540, 5000} {
		for _, agents := range []int{12, 100, 1000} {
			b.Run(fmt.Sprintf("teams=%d/agents=%d", teams, agents), func(b *testing.B) {
				m, _ := newBackloggedMachine(teams, agents)
				now := time.Duration(1)
				b.ReportAllocs()
				for b.Loop() {
					now += time.Microsecond
					m.Update(TickMsg{Now: now})
				}
			})
		}
	}
}
