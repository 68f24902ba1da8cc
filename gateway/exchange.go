package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/memory"
	"github.com/croftvale/croftvale/quarantine"
)

// firstTryShare is the fraction of its share up to which a team's requests are assumed to
// be first tries: such teams are hardly ever refused.
const firstTryShare = 0.8

// exchange tracks a caller's request until its final response. Points in time are on the
// clock of the core.
type exchange struct {
	front       *front
	w           *watchedWriter
	r           *http.Request
	ctx         context.Context // ends when the caller leaves
	work        context.Context // ends with ctx, or when the router ends
	endWork     context.CancelCauseFunc
	info        RequestInfo
	route       *direct.Route
	service     string
	team        string
	regions     direct.Regions // allowed by the route and the team
	priority    int
	body        []byte
	memory      memory.Account         // for the body, and for a response that is buffered before it is forwarded
	fingerprint quarantine.Fingerprint // 0 until the body has been read
	stream      streamOrigin
	start       time.Duration
	age         time.Duration // estimated time since the caller's first try; 0: this may be it
	deadline    time.Duration

	id            direct.RequestID // of the request or, once a backup has taken over, of that backup
	commands      <-chan direct.Cmd
	attempts      int
	headSent      bool
	position      streamPosition    // of the caller in the stream
	respondedAt   time.Duration     // when the first response or event arrived; 0: not yet
	forwardedAt   time.Duration     // when events were last forwarded
	serverFailure *bufferedResponse // a server's own failure, kept while another server is tried
	lastSend      direct.SendCmd
	current       *attempt    // the last one; nil: none was made
	callerGone    bool        // the caller has left; nothing may be written any more
	busy          atomic.Bool // at a server, or its response has begun
	mayHaveRun    atomic.Bool // at a server, at least in part
}

// request returns the request in the form that the machine needs.
func (x *exchange) request() direct.Request {
	return direct.Request{
		Team:         x.team,
		Route:        x.route.Name,
		Service:      x.service,
		Regions:      x.regions,
		Kind:         x.route.Kind,
		MayRepeat:    x.route.MayRepeat(),
		Attempts:     max(x.route.Attempts, 1),
		Priority:     x.priority,
		Objective:    x.route.Objective,
		Age:          x.age,
		Deadline:     x.deadline,
		PromptTokens: x.info.PromptTokens,
		OutputTokens: x.info.OutputTokens,
		Parts:        x.info.Parts,
		Fingerprint:  x.fingerprint,
		Version:      x.stream.version,
		Resumed:      x.stream.isResuming,
	}
}

// run serves the request until its final response.
func (x *exchange) run() {
	core := x.front.core
	x.id, x.commands = core.submit(x.request())
	ended := false
	defer func() {
		if !ended {
			x.abandon()
		}
		core.removeWaiter(x.id)
	}()
	x.followCommands()
	ended = true
}

// followCommands carries out the machine's commands until the final response.
func (x *exchange) followCommands() {
	core := x.front.core
	timer := time.NewTimer(x.deadline - core.Now())
	defer timer.Stop()
	for {
		select {
		case cmd := <-x.commands:
			if x.execute(cmd) {
				return
			}
		case <-x.work.Done():
			core.cancel(x.id, x.commands)
			if x.hasStopped() {
				x.stopped()
				return
			}
			x.callerLeft(0)
			return
		case <-timer.C:
			core.cancel(x.id, x.commands)
			x.timedOut()
			return
		}
	}
}

// abandon ends a request whose handler panics, so that it takes no place at a server any more.
func (x *exchange) abandon() {
	if !x.front.core.isConsistent() {
		return // another update would hide the cause
	}
	if x.current != nil {
		x.current.closeConn()
	}
	x.front.core.abandon(x.id)
}

// execute carries out one command and reports whether the request has ended.
func (x *exchange) execute(cmd direct.Cmd) bool {
	switch cmd := cmd.(type) {
	case direct.SendCmd:
		return x.attempt(cmd)
	case direct.RefuseCmd:
		x.lastSend.PlacementBasis.Share = cmd.Share
		x.refuse(string(cmd.Reason), cmd.RetryAfter)
		return true
	case direct.FailCmd:
		x.fail(string(cmd.Reason))
		return true
	}
	return false
}

// attempt makes an attempt, and follows the backups that take over from it. It reports whether the
// request has ended.
func (x *exchange) attempt(cmd direct.SendCmd) bool {
	x.busy.Store(true)
	defer func() { x.busy.Store(x.headSent) }()
	ctx, cancel := context.WithCancel(x.work)
	x.begin(newAttempt(ctx, cancel, x, cmd))
	defer func() { x.current.finish() }()
	outcome, ended := x.current.run()
	for x.current.successor != nil {
		next := x.current.successor
		x.follow(next)
		outcome, ended = next.attempt.proceed(next.result)
	}
	if outcome.MayHaveRun() {
		x.mayHaveRun.Store(true)
	}
	a := x.current
	x.front.core.Update(direct.AttemptEndMsg{
		Now: x.front.core.Now(), ID: x.id, Outcome: outcome, Retry: !ended, ConnRefused: a.connRefused, RouterLate: a.dialOverdue || x.front.core.pressure.Slow(), Unframed: a.unframed.end.isWhole(),
	})
	x.front.stats.Attempt(outcome, x.front.core.Now()-a.startedAt)
	if !ended {
		x.logRetry(outcome)
	}
	return ended
}

// begin makes an attempt the current one.
func (x *exchange) begin(a *attempt) {
	x.attempts++
	x.current, x.lastSend = a, a.cmd
}

// follow makes a backup that has taken over the current attempt.
func (x *exchange) follow(next *backup) {
	x.mayHaveRun.Store(true)
	replaced := x.current
	x.front.stats.Attempt(direct.Hung, x.front.core.Now()-replaced.startedAt)
	x.logRetry(direct.Hung)
	replaced.finish()
	x.front.core.removeWaiter(x.id)
	x.id, x.commands = next.attempt.id, next.commands
	x.begin(next.attempt)
}

// pathOf returns the path of a request target, as the caller wrote it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
