package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ruleChecker holds the rules against a machine: what it may do with each request.
type ruleChecker struct {
	t        *rapid.T
	m        *Machine
	now      time.Duration
	lastID   RequestID
	requests map[RequestID]*trackedRequest
	running  []RequestID
	draining map[string]bool
	revision uint64
	arrivals int // requests that arrived
	retries  int // attempts past the first
}

// trackedRequest is what the oracle knows of a request.
type trackedRequest struct {
	Request
	arrived      time.Duration
	waitingSince time.Duration // since when it waits
	sends        int
	mayRan       bool
	server       string
	ended        bool
	running      bool
	visited      map[string]bool
	unsent       int
}

// TestRules plays random days against the machine. By hand:
// go test ./direct -run TestRules -rapid.checks=10000 -rapid.steps=100
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &ruleChecker{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}}),
			requests: make(map[RequestID]*trackedRequest), draining: make(map[string]bool), now: time.Second}
		o.update(ConfigMsg{Now: o.now, Config: Config{Version: 1, Limits: Limits{TokensPerSecond: 50000},
			Services: []Service{{Name: "llm", Engine: &Engine{Slots: 8, KVTokens: 100000}}, {Name: "app"}}}})
		o.sendList()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { o.arrive() },
			"first":  func(*rapid.T) { o.sendFirstEvent() },
			"end":    func(*rapid.T) { o.endAttempt() },
			"tick":   func(*rapid.T) { o.tick(rapid.IntRange(1, 20).Draw(o.t, "ticks")) },
			"list":   func(*rapid.T) { o.sendList() },
			"peer":   func(*rapid.T) { o.sendPeerReports() },
			"leave":  func(*rapid.T) { o.cancelWaiting() },
			"":       func(*rapid.T) { o.checkInvariants() },
		})
	})
}

func (o *ruleChecker) update(msg Msg) {
	for _, c := range o.m.Update(msg) {
		switch c := c.(type) {
		case SendCmd:
			o.send(c)
		case RefuseCmd:
			w := o.requests[c.ID]
			require.False(o.t, w.mayRan, "refused, yet it may have run")
			require.False(o.t, w.running, "refused while it runs")
			require.Positive(o.t, c.RetryAfter)
			w.ended = true
		case FailCmd:
			w := o.requests[c.ID]
			require.True(o.t, w.mayRan, "failed, yet it has not run: it must be refused")
			w.ended = true
		}
	}
}

func (o *ruleChecker) send(c SendCmd) {
	w := o.requests[c.ID]
	require.False(o.t, w.ended, "sent after its end")
	require.False(o.t, w.running, "sent twice at once")
	require.True(o.t, !w.mayRan || w.MayRepeat, "sent again, and it may not be repeated")
	require.False(o.t, w.visited[c.Server.ID], "sent to the same server twice")
	require.Equal(o.t, w.Service, c.Server.Service)
	if o.draining[c.Server.ID] {
		require.True(o.t, o.allLeaving(w.Service), "sent to a server that leaves, though others stay")
	}
	w.sends++
	require.LessOrEqual(o.t, w.sends, w.Attempts, "sent to more servers than its route allows")
	if w.sends > 1 {
		o.retries++
	}
	w.visited[c.Server.ID] = true
	w.running, w.server = true, c.Server.ID
	o.running = append(o.running, c.ID)
}

func (o *ruleChecker) allLeaving(service string) bool {
	for id, s := range o.m.byServer {
		if s.Service == service && !o.draining[id] && !s.gone {
			return false
		}
	}
	return true
}

func (o *ruleChecker) arrive() {
	o.lastID++
	o.arrivals++
	r := Request{
		ID: o.lastID, Team: rapid.SampledFrom([]string{"red", "blue", "green"}).Draw(o.t, "team"),
		Service: rapid.SampledFrom([]string{"llm", "app"}).Draw(o.t, "service"), Kind: Stream,
		MayRepeat: rapid.Bool().Draw(o.t, "repeat"), Attempts: rapid.IntRange(1, 3).Draw(o.t, "attempts"),
		Priority: rapid.IntRange(0, 2).Draw(o.t, "priority"), Objective: 300 * time.Millisecond, Deadline: o.now + 5*time.Second,
		PromptTokens: rapid.IntRange(1, 60000).Draw(o.t, "tokens"), OutputTokens: 50,
		Parts: []PromptPart{{ID: uint64(rapid.IntRange(1, 9).Draw(o.t, "part")), Tokens: 500}, {ID: uint64(o.lastID) + 100, Tokens: 10}},
	}
	o.requests[r.ID] = &trackedRequest{Request: r, arrived: o.now, waitingSince: o.now, visited: make(map[string]bool)}
	o.update(RequestMsg{Now: o.now, Request: r})
}

func (o *ruleChecker) pickRunning() (RequestID, bool) {
	if len(o.running) == 0 {
		return 0, false
	}
	return o.running[rapid.IntRange(0, len(o.running)-1).Draw(o.t, "running")], true
}

func (o *ruleChecker) sendFirstEvent() {
	if id, ok := o.pickRunning(); ok {
		o.update(FirstEventMsg{Now: o.now, ID: id})
	}
}

func (o *ruleChecker) endAttempt() {
	id, ok := o.pickRunning()
	if !ok {
		return
	}
	w := o.requests[id]
	outcome := Outcome(rapid.IntRange(int(Done), int(GivenUp)).Draw(o.t, "outcome"))
	retry := outcome != Done && outcome != GivenUp && rapid.Bool().Draw(o.t, "retry")
	for i, other := range o.running {
		if other == id {
			o.running = append(o.running[:i], o.running[i+1:]...)
			break
		}
	}
	w.running = false
	switch outcome {
	case Unsent:
		w.sends--
		w.unsent++
	case NotRun, Elsewhere:
	default:
		w.mayRan = true
	}
	if !retry {
		w.ended = true
	}
	w.waitingSince = o.now
	o.update(AttemptEndMsg{Now: o.now, ID: id, Outcome: outcome, Retry: retry, RouterLate: rapid.Bool().Draw(o.t, "slow")})
}

func (o *ruleChecker) tick(n int) {
	for range n {
		o.now += TickInterval
		o.update(TickMsg{Now: o.now})
	}
}

func (o *ruleChecker) sendList() {
	o.revision++
	clear(o.draining)
	d := Directory{Revision: o.revision}
	for i := range 4 {
		for _, service := range []string{"llm", "app"} {
			s := Server{ID: fmt.Sprint(service, i), Service: service, Zone: "a", Slots: 4, Draining: rapid.IntRange(0, 3).Draw(o.t, "state") == 0}
			o.draining[s.ID] = s.Draining
			d.Servers = append(d.Servers, s)
		}
	}
	o.update(ServersMsg{Now: o.now, Directory: d})
}

func (o *ruleChecker) sendPeerReports() {
	o.update(PeerReportMsg{Now: o.now, Peer: "other", Report: Report{
		Headroom: rapid.Float64Range(0, 5).Draw(o.t, "room"),
	}})
	o.update(PeerTeamsMsg{Now: o.now, Teams: []loads.TeamUse{{Team: "red", Offered: 90000, Served: rapid.Float32Range(0, 90000).Draw(o.t, "served")}}})
	o.update(PeerLoadsMsg{Now: o.now, Loads: []loads.Load{{
		Server: loads.ServerKey("llm1"), Running: rapid.Int32Range(0, 9).Draw(o.t, "load"), Pending: 4000,
	}}})
}

func (o *ruleChecker) cancelWaiting() {
	for id, w := range o.requests {
		if !w.running && !w.ended {
			w.ended = true
			o.update(CancelMsg{Now: o.now, ID: id})
			return
		}
	}
}

// checkInvariants holds what must be so at any moment.
func (o *ruleChecker) checkInvariants() {
	running := make(map[string]int)
	for _, id := range o.running {
		running[o.requests[id].server]++
	}
	for id, s := range o.m.byServer {
		require.Equal(o.t, running[id], s.running, "running at %s", id)
		require.GreaterOrEqual(o.t, s.pendingTokens, 0)
	}
	for id, w := range o.requests {
		if !w.ended && !w.running {
			limit := time.Duration(maxWaitFraction*float64(w.Objective)) + 2*TickInterval
			require.LessOrEqual(o.t, o.now-w.waitingSince, limit, "request %d is held", id)
		}
	}
	require.LessOrEqual(o.t, float64(o.retries), 0.2*float64(o.arrivals)+20)
}
