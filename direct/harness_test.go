package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// harness drives a machine by hand.
type harness struct {
	t      *testing.T
	m      *Machine
	now    time.Duration
	lastID RequestID
}

func newHarness(t *testing.T, servers int) *harness {
	b := &harness{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}), now: time.Second}
	b.m.Update(ConfigMsg{Now: b.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}}, {Name: "app"}},
		Limits:   Limits{TokensPerSecond: 100000},
	}})
	b.m.Update(ServersMsg{Now: b.now, Directory: newDirectory(1, servers)})
	return b
}

func newDirectory(revision uint64, servers int) Directory {
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
func (b *harness) request(team string, parts ...PromptPart) Request {
	b.lastID++
	return Request{
		ID: b.lastID, Team: team, Service: "llm", Kind: Stream, MayRepeat: true, Attempts: 2, Priority: 1,
		Objective: 400 * time.Millisecond, Deadline: b.now + 10*time.Second, PromptTokens: 2000, OutputTokens: 100, Parts: parts,
	}
}

func (b *harness) arrive(r Request) []Cmd {
	return append([]Cmd(nil), b.m.Update(RequestMsg{Now: b.now, Request: r})...)
}

func (b *harness) end(id RequestID, o Outcome, retry bool) []Cmd {
	return append([]Cmd(nil), b.m.Update(AttemptEndMsg{Now: b.now, ID: id, Outcome: o, Retry: retry})...)
}

func (b *harness) advance(d time.Duration) []Cmd {
	var out []Cmd
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		out = append(out, b.m.Update(TickMsg{Now: b.now})...)
	}
	return out
}

// sent returns the server of the only command, which must be a send.
func (b *harness) sent(cmds []Cmd) string {
	b.t.Helper()
	for _, c := range cmds {
		if s, ok := c.(SendCmd); ok {
			return s.Server.ID
		}
	}
	require.Fail(b.t, "nothing was sent", "%v", cmds)
	return ""
}

// findCmd returns the first command of a kind.
func findCmd[C Cmd](cmds []Cmd) (C, bool) {
	for _, c := range cmds {
		if c, ok := c.(C); ok {
			return c, true
		}
	}
	var none C
	return none, false
}
