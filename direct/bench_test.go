package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bench drives a machine by hand.
type bench struct {
	t    *testing.T
	m    *Machine
	now  time.Duration
	next RequestID
}

func newBench(t *testing.T, servers int) *bench {
	b := &bench{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}), now: time.Second}
	b.m.Update(ConfigMsg{Now: b.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}}, {Name: "app"}},
		Limits:   Limits{TokensPerSecond: 100000},
	}})
	b.m.Update(ServersMsg{Now: b.now, Directory: directory(1, servers)})
	return b
}

func directory(revision uint64, servers int) Directory {
	d := Directory{Revision: revision}
	for i := range servers {
		d.Servers = append(d.Servers,
			Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: "a", Slots: 48},
			Server{ID: fmt.Sprint("p", i), Service: "app", Zone: "a", Slots: 6},
		)
	}
	return d
}

// request returns one of a team, with parts as given.
func (b *bench) request(team string, parts ...PromptPart) Request {
	b.next++
	return Request{
		ID: b.next, Team: team, Service: "llm", Kind: Stream, MayRepeat: true, Attempts: 2, Priority: 1,
		Objective: 400 * time.Millisecond, Deadline: b.now + 10*time.Second, PromptTokens: 2000, OutputTokens: 100, Parts: parts,
	}
}

func (b *bench) arrive(r Request) []Cmd {
	return append([]Cmd(nil), b.m.Update(RequestMsg{Now: b.now, Request: r})...)
}

func (b *bench) end(id RequestID, o Outcome, retry bool) []Cmd {
	return append([]Cmd(nil), b.m.Update(AttemptEndMsg{Now: b.now, ID: id, Outcome: o, Retry: retry})...)
}

func (b *bench) pass(d time.Duration) []Cmd {
	var out []Cmd
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		out = append(out, b.m.Update(TickMsg{Now: b.now})...)
	}
	return out
}

// sent returns the server of the only command, which must be a send.
func (b *bench) sent(cmds []Cmd) string {
	b.t.Helper()
	for _, c := range cmds {
		if s, ok := c.(SendCmd); ok {
			return s.Server.ID
		}
	}
	require.Fail(b.t, "nothing was sent", "%v", cmds)
	return ""
}

// find returns the first command of a kind.
func find[C Cmd](cmds []Cmd) (C, bool) {
	for _, c := range cmds {
		if c, ok := c.(C); ok {
			return c, true
		}
	}
	var none C
	return none, false
}
