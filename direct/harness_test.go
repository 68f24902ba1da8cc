package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// harness drives a machine with messages at a simulated time. Its methods return copies of the
// commands, because the slice of Machine.Update is valid only until the next call.
type harness struct {
	t      *testing.T
	m      *Machine
	now    time.Duration
	lastID RequestID
}

func newHarness(t *testing.T, servers int) *harness {
	h := &harness{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}), now: time.Second}
	h.m.Update(ConfigMsg{Now: h.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}}, {Name: "app"}},
		Limits:   Limits{TokensPerSecond: 100000},
	}})
	h.m.Update(ServersMsg{Now: h.now, Directory: newDirectory(1, servers)})
	return h
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

// request returns a new request of a team with the given parts.
func (h *harness) request(team string, parts ...PromptPart) Request {
	h.lastID++
	return Request{
		ID: h.lastID, Team: team, Service: "llm", Kind: Stream, MayRepeat: true, Attempts: 2, Priority: 1,
		Objective: 400 * time.Millisecond, Deadline: h.now + 10*time.Second, PromptTokens: 2000, OutputTokens: 100, Parts: parts,
	}
}

// arrive delivers a new request.
func (h *harness) arrive(r Request) []Cmd {
	return append([]Cmd(nil), h.m.Update(RequestMsg{Now: h.now, Request: r})...)
}

// end ends the current attempt of a request.
func (h *harness) end(id RequestID, o Outcome, retry bool) []Cmd {
	return append([]Cmd(nil), h.m.Update(AttemptEndMsg{Now: h.now, ID: id, Outcome: o, Retry: retry})...)
}

// advance advances the time by at least d, tick by tick.
func (h *harness) advance(d time.Duration) []Cmd {
	var out []Cmd
	for end := h.now + d; h.now < end; {
		h.now += TickInterval
		out = append(out, h.m.Update(TickMsg{Now: h.now})...)
	}
	return out
}

// sent returns the server of the first SendCmd and fails the test if there is none.
func (h *harness) sent(cmds []Cmd) string {
	h.t.Helper()
	for _, c := range cmds {
		if s, ok := c.(SendCmd); ok {
			return s.Server.ID
		}
	}
	require.Fail(h.t, "nothing was sent", "%v", cmds)
	return ""
}

// findCmd returns the first command of a type.
func findCmd[C Cmd](cmds []Cmd) (C, bool) {
	for _, c := range cmds {
		if c, ok := c.(C); ok {
			return c, true
		}
	}
	var none C
	return none, false
}
