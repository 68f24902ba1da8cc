package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ruleChecker checks each command of a machine against the rules for the request's state.
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
	retries  int // attempts after the first of a request
}

// trackedRequest is the checker's own state of a request.
type trackedRequest struct {
	Request
	arrived      time.Duration
	waitingSince time.Duration // start of the current wait
	sends        int
	mayHaveRun   bool
	server       string
	ended        bool
	running      bool
	visited      map[string]bool
	unsent       int
}

// TestRules checks a machine's commands under random sequences of events. For a longer run:
// go test ./direct -run TestRules -rapid.checks=10000 -rapid.steps=100
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rc := &ruleChecker{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}}),
			requests: make(map[RequestID]*trackedRequest), draining: make(map[string]bool), now: time.Second}
		rc.update(ConfigMsg{Now: rc.now, Config: Config{Version: 1, Limits: Limits{TokensPerSecond: 50000},
			Services: []Service{{Name: "llm", Engine: &Engine{Slots: 8, KVTokens: 100000}}, {Name: "app"}}}})
		rc.sendList()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { rc.arrive() },
			"first":  func(*rapid.T) { rc.sendFirstEvent() },
			"end":    func(*rapid.T) { rc.endAttempt() },
			"tick":   func(*rapid.T) { rc.tick(rapid.IntRange(1, 20).Draw(rc.t, "ticks")) },
			"list":   func(*rapid.T) { rc.sendList() },
			"peer":   func(*rapid.T) { rc.sendPeerReports() },
			"leave":  func(*rapid.T) { rc.cancelWaiting() },
			"":       func(*rapid.T) { rc.checkInvariants() },
		})
	})
}

func (rc *ruleChecker) update(msg Msg) {
	for _, c := range rc.m.Update(msg) {
		switch c := c.(type) {
		case SendCmd:
			rc.send(c)
		case RefuseCmd:
			r := rc.requests[c.ID]
			require.False(rc.t, r.mayHaveRun, "refused, but it may have run")
			require.False(rc.t, r.running, "refused while running")
			require.Positive(rc.t, c.RetryAfter)
			r.ended = true
		case FailCmd:
			r := rc.requests[c.ID]
			require.True(rc.t, r.mayHaveRun, "failed without having run; must be refused")
			r.ended = true
		}
	}
}

func (rc *ruleChecker) send(c SendCmd) {
	r := rc.requests[c.ID]
	require.False(rc.t, r.ended, "sent after it ended")
	require.False(rc.t, r.running, "sent while running")
	require.True(rc.t, !r.mayHaveRun || r.MayRepeat, "sent again, but it must not be repeated")
	require.False(rc.t, r.visited[c.Server.ID], "sent to the same server twice")
	require.Equal(rc.t, r.Service, c.Server.Service)
	if rc.draining[c.Server.ID] {
		require.True(rc.t, rc.allLeaving(r.Service), "sent to a leaving server although others are available")
	}
	r.sends++
	require.LessOrEqual(rc.t, r.sends, r.Attempts, "more attempts than its route allows")
	if r.sends > 1 {
		rc.retries++
	}
	r.visited[c.Server.ID] = true
	r.running, r.server = true, c.Server.ID
	rc.running = append(rc.running, c.ID)
}

func (rc *ruleChecker) allLeaving(service string) bool {
	for id, s := range rc.m.byServer {
		if s.Service == service && !rc.draining[id] && !s.gone {
			return false
		}
	}
	return true
}

func (rc *ruleChecker) arrive() {
	rc.lastID++
	rc.arrivals++
	r := Request{
		ID: rc.lastID, Team: rapid.SampledFrom([]string{"red", "blue", "green"}).Draw(rc.t, "team"),
		Service: rapid.SampledFrom([]string{"llm", "app"}).Draw(rc.t, "service"), Kind: Stream,
		MayRepeat: rapid.Bool().Draw(rc.t, "repeat"), Attempts: rapid.IntRange(1, 3).Draw(rc.t, "attempts"),
		Priority: rapid.IntRange(0, 2).Draw(rc.t, "priority"), Objective: 300 * time.Millisecond, Deadline: rc.now + 5*time.Second,
		PromptTokens: rapid.IntRange(1, 60000).Draw(rc.t, "tokens"), OutputTokens: 50,
		Parts: []PromptPart{{ID: uint64(rapid.IntRange(1, 9).Draw(rc.t, "part")), Tokens: 500}, {ID: uint64(rc.lastID) + 100, Tokens: 10}},
	}
	rc.requests[r.ID] = &trackedRequest{Request: r, arrived: rc.now, waitingSince: rc.now, visited: make(map[string]bool)}
	rc.update(RequestMsg{Now: rc.now, Request: r})
}

func (rc *ruleChecker) pickRunning() (RequestID, bool) {
	if len(rc.running) == 0 {
		return 0, false
	}
	return rc.running[rapid.IntRange(0, len(rc.running)-1).Draw(rc.t, "running")], true
}

func (rc *ruleChecker) sendFirstEvent() {
	if id, ok := rc.pickRunning(); ok {
		rc.update(FirstEventMsg{Now: rc.now, ID: id})
	}
}

func (rc *ruleChecker) endAttempt() {
	id, ok := rc.pickRunning()
	if !ok {
		return
	}
	r := rc.requests[id]
	outcome := Outcome(rapid.IntRange(int(Done), int(GivenUp)).Draw(rc.t, "outcome"))
	retry := outcome != Done && outcome != GivenUp && rapid.Bool().Draw(rc.t, "retry")
	for i, other := range rc.running {
		if other == id {
			rc.running = append(rc.running[:i], rc.running[i+1:]...)
			break
		}
	}
	r.running = false
	switch outcome {
	case Unsent:
		r.sends--
		r.unsent++
	case NotRun, Elsewhere:
		if r.mayHaveRun {
			r.sends-- // a retry that was declined: it is bounded by the retry budget and by the servers
		}
	default:
		r.mayHaveRun = true
	}
	if !retry {
		r.ended = true
	}
	r.waitingSince = rc.now
	rc.update(AttemptEndMsg{Now: rc.now, ID: id, Outcome: outcome, Retry: retry, RouterLate: rapid.Bool().Draw(rc.t, "slow")})
}

func (rc *ruleChecker) tick(n int) {
	for range n {
		rc.now += TickInterval
		rc.update(TickMsg{Now: rc.now})
	}
}

func (rc *ruleChecker) sendList() {
	rc.revision++
	clear(rc.draining)
	d := Directory{Revision: rc.revision}
	for i := range 4 {
		for _, service := range []string{"llm", "app"} {
			s := Server{ID: fmt.Sprint(service, i), Service: service, Zone: "a", Slots: 4, Draining: rapid.IntRange(0, 3).Draw(rc.t, "state") == 0}
			rc.draining[s.ID] = s.Draining
			d.Servers = append(d.Servers, s)
		}
	}
	rc.update(ServersMsg{Now: rc.now, Directory: d})
}

func (rc *ruleChecker) sendPeerReports() {
	rc.update(PeerReportMsg{Now: rc.now, Peer: "other", Report: Report{
		Headroom: rapid.Float64Range(0, 5).Draw(rc.t, "room"),
	}})
	rc.update(PeerTeamsMsg{Now: rc.now, Teams: []loads.TeamUse{{Team: "red", Offered: 90000, Served: rapid.Float32Range(0, 90000).Draw(rc.t, "served")}}})
	rc.update(PeerLoadsMsg{Now: rc.now, Loads: []loads.Load{{
		Server: loads.ServerKey("llm1"), Running: rapid.Int32Range(0, 9).Draw(rc.t, "load"), Pending: 4000,
	}}})
}

func (rc *ruleChecker) cancelWaiting() {
	for id, r := range rc.requests {
		if !r.running && !r.ended {
			r.ended = true
			rc.update(CancelMsg{Now: rc.now, ID: id})
			return
		}
	}
}

// checkInvariants checks the rules that must hold at any time.
func (rc *ruleChecker) checkInvariants() {
	running := make(map[string]int)
	for _, id := range rc.running {
		running[rc.requests[id].server]++
	}
	for id, s := range rc.m.byServer {
		require.Equal(rc.t, running[id], s.running, "running at %s", id)
		require.GreaterOrEqual(rc.t, s.pendingTokens, 0)
	}
	for id, r := range rc.requests {
		if !r.ended && !r.running {
			limit := time.Duration(maxWaitFraction*float64(r.Objective)) + 2*TickInterval
			require.LessOrEqual(rc.t, rc.now-r.waitingSince, limit, "request %d waits too long", id)
		}
	}
	require.LessOrEqual(rc.t, float64(rc.retries), 0.2*float64(rc.arrivals)+20)
}
