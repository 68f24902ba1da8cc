package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// BenchmarkFlood measures the cost of a router's decisions, by number of servers, while one
// team asks for twenty times its share and another for little. It covers arrivals, ticks and
// the ends of attempts.
func BenchmarkFlood(b *testing.B) {
	for _, servers := range []int{54, 1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) { benchmarkFlood(b, servers, nil) })
	}
}

// BenchmarkRolloutFlood measures the same during a rollout: half of the servers run the target
// version and get a tenth of the requests.
func BenchmarkRolloutFlood(b *testing.B) {
	for _, servers := range []int{54, 1000, 10_000} {
		gate := &rollout.Gate{Service: "llm", InUse: []string{"v0"}, Target: "v1", Fraction: 0.1, Limit: 0.1, ServerFraction: 0.1}
		b.Run(fmt.Sprint(servers), func(b *testing.B) { benchmarkFlood(b, servers, gate) })
	}
}

func benchmarkFlood(b *testing.B, servers int, gate *rollout.Gate) {
	const (
		perTick      = 20 // requests per tick
		responseTime = 100 * time.Millisecond
	)
	m := NewMachine(Options{Zone: "a"})
	now := time.Second
	m.Update(ConfigMsg{Now: now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 32, KVTokens: 784000}}},
		Limits:   Limits{TokensPerSecond: 400_000},
	}})
	dir := Directory{Revision: 1}
	for i := range servers {
		dir.Servers = append(dir.Servers, Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: "a", Version: fmt.Sprint("v", i%2), Slots: 32})
	}
	m.Update(ServersMsg{Now: now, Directory: dir})
	if gate != nil {
		m.Update(GateMsg{Now: now, Gate: *gate})
	}
	type sent struct {
		id RequestID
		at time.Duration
	}
	var running []sent
	execute := func(cmds []Cmd) {
		for _, c := range cmds {
			if s, ok := c.(SendCmd); ok {
				running = append(running, sent{s.ID, now})
			}
		}
	}
	id := RequestID(0)
	for i := 0; b.Loop(); i++ {
		if i%perTick == 0 {
			now += TickInterval
			execute(m.Update(TickMsg{Now: now}))
			for len(running) > 0 && now-running[0].at > responseTime {
				m.Update(FirstEventMsg{Now: now, ID: running[0].id})
				execute(m.Update(AttemptEndMsg{Now: now, ID: running[0].id, Outcome: Done}))
				running = running[1:]
			}
		}
		id++
		team := "flood"
		if i%perTick == 0 {
			team = "small"
		}
		execute(m.Update(RequestMsg{Now: now, Request: Request{
			ID: id, Team: team, Service: "llm", Kind: Stream, Attempts: 1, Objective: 400 * time.Millisecond,
			Deadline: now + 10*time.Second, PromptTokens: 5000, OutputTokens: 200,
			Parts: []PromptPart{{ID: 1, Tokens: 500}, {ID: uint64(i%800) + 2, Tokens: 2000}, {ID: uint64(id) + 10_000, Tokens: 2500}},
		}}))
	}
}
