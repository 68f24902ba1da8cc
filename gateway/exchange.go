package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/memory"
	"github.com/croftvale/croftvale/quarantine"
)

// How a request ended, as logs and metrics name it.
const (
	resultServed  = "served"
	resultRefused = "refused" // has not run
	resultFailed  = "failed"
	resultCut     = "cut" // broken off after its head was sent
	resultLeft    = "caller_left"
)

// withinShare is the part of its share that a team gets at the most for its requests to
// be taken for first tries: such teams are hardly ever refused.
const withinShare = 0.8

// exchange is one request of a caller on its way to its final answer.
type exchange struct {
	front    *front
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context // ends when the caller leaves
	envelope Envelope
	route    *direct.Route
	service  string
	team     string
	regions  direct.Regions // that the route and the team allow
	priority int
	body     []byte
	memory   memory.Account         // of the body, and of an answer that is read before it is forwarded
	content  quarantine.Fingerprint // 0 until the body has been read
	start    time.Duration
	age      time.Duration // since its caller first asked, as far as is known
	deadline time.Duration

	id       direct.RequestID
	attempts int
	headSent bool
	lastID   int64 // of the last event that was forwarded
	firstAt  time.Duration
	passedAt time.Duration // when events were last forwarded
	held     *whole        // a server's own failure, kept while another is tried
	last     direct.SendCmd
	notice   direct.Notice // what the last server that answered said of itself
	left     bool          // its caller has left; nothing may be written any more
}

// request is what the decisions need to know.
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
		PromptTokens: x.envelope.PromptTokens,
		OutputTokens: x.envelope.OutputTokens,
		Parts:        x.envelope.Parts,
		Fingerprint:  x.content,
	}
}

// run takes the request to its final answer.
func (x *exchange) run() {
	core := x.front.core
	id, commands := core.arrive(x.request())
	x.id = id
	defer core.done(id)
	timer := time.NewTimer(x.deadline - core.Now())
	defer timer.Stop()
	for {
		select {
		case cmd := <-commands:
			if x.follow(cmd) {
				return
			}
		case <-x.ctx.Done():
			core.leave(id, commands)
			x.callerLeft(0)
			return
		case <-timer.C:
			core.leave(id, commands)
			x.timedOut()
			return
		}
	}
}

// follow carries out one command and tells whether the request has ended.
func (x *exchange) follow(cmd direct.Cmd) bool {
	switch cmd := cmd.(type) {
	case direct.SendCmd:
		x.attempts++
		x.last, x.notice = cmd, direct.Notice{}
		a := attempt{x: x, cmd: cmd}
		began := x.front.core.Now()
		outcome, ended := a.run()
		x.front.core.Update(direct.AttemptEndMsg{
			Now: x.front.core.Now(), ID: x.id, Outcome: outcome, Retry: !ended, ConnRefused: a.refused, RouterLate: a.overdue || x.front.core.pressure.Slow(),
		})
		x.front.stats.Attempt(outcome, x.front.core.Now()-began)
		if ended {
			return true
		}
		x.logRetry(outcome)
	case direct.RefuseCmd:
		x.last.PlacementBasis.Share = cmd.Share
		x.refuse(string(cmd.Reason), cmd.RetryAfter)
		return true
	case direct.FailCmd:
		x.fail(string(cmd.Reason))
		return true
	}
	return false
}

// refuse ends a request that has not run.
func (x *exchange) refuse(reason string, after time.Duration) {
	if x.headSent {
		x.abort(reason)
	}
	x.front.refuse(x.w, http.StatusServiceUnavailable, reason, after)
	x.finish(resultRefused, http.StatusServiceUnavailable, reason)
}

// fail ends a request that may have run: with the server's own failure where
// there is one.
func (x *exchange) fail(reason string) {
	switch {
	case x.headSent:
		x.abort(reason)
	case x.held != nil:
		x.held.write(x)
		x.finish(resultFailed, x.held.status, reason)
	default:
		x.front.refuse(x.w, http.StatusBadGateway, reason, 0)
		x.finish(resultFailed, http.StatusBadGateway, reason)
	}
}

// timedOut ends a request whose time is over.
func (x *exchange) timedOut() {
	switch {
	case x.headSent:
		x.abort("timeout")
	case x.held != nil:
		x.held.write(x)
		x.finish(resultFailed, x.held.status, "timeout")
	case x.attempts == 0:
		x.refuse("deadline", x.route.Objective)
	default:
		x.front.refuse(x.w, http.StatusGatewayTimeout, "timeout", 0)
		x.finish(resultFailed, http.StatusGatewayTimeout, "timeout")
	}
}

// abort breaks the caller's connection off, since an answer that ends early
// must not look whole.
func (x *exchange) abort(reason string) {
	x.finish(resultCut, http.StatusOK, reason)
	panic(http.ErrAbortHandler)
}

// callerLeft ends a request whose caller has left; status is what it was told, 0 for
// nothing.
func (x *exchange) callerLeft(status int) {
	x.left = true
	x.finish(resultLeft, status, "")
}

// finish logs and counts how the request ended.
func (x *exchange) finish(result string, status int, reason string) {
	x.count(result, reason)
	if result == resultServed && x.last.PlacementBasis.Share < withinShare {
		x.front.ages.learn(x.route.Name, x.envelope.Left)
	}
	x.front.accounts.note(x, result, x.front.core.Now())
	x.log(result, status, reason)
}

// count counts how the request ended.
func (x *exchange) count(result, reason string) {
	stats := x.front.stats
	stats.Request(result, reason)
	stats.RequestTime.RecordDuration(x.front.core.Now() - x.start)
	if x.attempts > 0 {
		stats.QueueWait.RecordDuration(x.last.PlacementBasis.QueueWait)
	}
	if x.firstAt > 0 {
		stats.FirstEvent.RecordDuration(x.firstAt - x.start)
	}
}

// pathOf returns the path of a request target, as the caller wrote it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
