package gateway

import (
	"cmp"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/sendqueue"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// reasonPressure is the reason of refusals by a router that lacks processor time.
const reasonPressure = "pressure"

const (
	// noConfigRetryAfter is the retry delay for callers of a router that has no
	// configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the retry delay for callers of a draining router; another router
	// serves them.
	drainRetryAfter = 50 * time.Millisecond
	// defaultTimeout bounds a request if neither its route nor its caller sets a limit.
	defaultTimeout = 60 * time.Second
	// shedRetryAfter is the retry delay for callers whose requests were shed. It is short,
	// since the retry reaches another router.
	shedRetryAfter = 20 * time.Millisecond
	// writeGrace is how long after the deadline the caller may still read the end of the
	// response.
	writeGrace = 2 * time.Second
	// memoryRetryAfter is the retry delay for callers whose bodies do not fit into memory.
	// Responses that are read slowly hold memory for seconds, and another router has memory.
	memoryRetryAfter = 300 * time.Millisecond
)

// front serves the requests of callers.
type front struct {
	core       *core
	feeds      *feed.Set
	pool       *backend.Pool
	dialect    Dialect
	log        *eventlog.Log
	stats      *stats.Stats
	sendQueues *sendqueue.Queues // unread responses, and the memory for bodies
	draining   atomic.Bool       // responses close their connections
	active     atomic.Int64
	conns      *callerConns
	ages       ageEstimator
	outcomes   outcomeCounters
	hall       string          // data hall of this router
	origins    origins         // which versions began streams
	endProcess func(cause any) // after a panic that leaves the state machine inconsistent; must not return
	resuming   resumingStreams
	tellers    startTellers
	stopping   stopping
	traffic    *traffic.Meter // bytes of requests
	// maxEventDelay is the longest time that an event may take to reach its caller.
	maxEventDelay time.Duration
}

// ServeHTTP implements http.Handler. It serves a request until its final response.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	watched := &watchedWriter{ResponseWriter: w}
	defer f.handlePanic(watched, r)
	f.serve(watched, r)
}

// serve serves a request. It may panic.
func (f *front) serve(w *watchedWriter, r *http.Request) {
	start := f.core.Now()
	if !f.feeds.Complete() {
		f.reject(w, r, refusal{http.StatusServiceUnavailable, "no_config", noConfigRetryAfter})
		return
	}
	table := f.feeds.Config.Table()
	x, refused := f.admit(w, r, table, start)
	if refused != nil {
		f.reject(w, r, *refused)
		return
	}
	f.stopping.add(x)
	defer f.stopping.remove(x)
	if x.hasStopped() {
		f.reject(w, r, drainRefusal)
		x.discardBody()
		return
	}
	if refused = x.resolveOrigin(); refused != nil {
		f.reject(w, r, *refused)
		return
	}
	defer x.endResumption()
	if cmd, refusedEarly := f.core.checkAdmission(x.request()); refusedEarly {
		x.lastSend.PlacementBasis.Share = cmd.Share
		x.refuse(string(cmd.Reason), cmd.RetryAfter)
		return
	}
	defer f.sendQueues.Close(&x.memory)
	if refused = f.shed(x); refused == nil {
		refused = x.readBody(max(table.Config.Limits.BodyBytes, 1))
	}
	if refused != nil {
		f.reject(w, r, *refused)
		x.discardBody()
		return
	}
	if f.core.pressure.Shedding() && f.conns.closedByCaller(x.ctx) {
		// A late router may read requests that their callers have already given up.
		// Forwarding them would waste the tokens of their teams.
		x.callerLeft(0)
		panic(http.ErrAbortHandler)
	}
	x.run()
	if x.callerGone {
		// net/http would send an empty success, which a caller that has closed only its
		// side of the connection would read.
		panic(http.ErrAbortHandler)
	}
}

// refusal is a response of the router itself to a request that was not admitted.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // when the caller should retry; used only with status 503
}

// admit finds the route and the team of a request, or returns a refusal.
func (f *front) admit(w *watchedWriter, r *http.Request, table *direct.Table, start time.Duration) (*exchange, *refusal) {
	route := table.Route(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return nil, f.refuseUnknown(http.StatusNotFound, "no_route")
	}
	info, err := f.dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "bad_header", 0}
	}
	x := &exchange{
		front: f, w: w, r: r, ctx: r.Context(), info: info, route: route,
		service: table.Service(route, cmp.Or(info.firstAttempt(), info.ID)), regions: direct.RegionsOf(route.Regions), priority: route.Priority, start: start,
		position: positionOf(info.AfterEvent),
	}
	if table.HasTeams() {
		team := table.Team(info.TeamKey)
		if team == nil && !route.Anonymous {
			return nil, f.refuseUnknown(http.StatusUnauthorized, "unknown_key")
		}
		if team != nil {
			x.setTeam(team)
		}
	}
	if caller := callerConnOf(x.ctx); caller != nil {
		caller.SetTeam(x.team)
	}
	x.setDeadline()
	x.age = f.ages.estimate(start, route.Name, info.TimeLeft)
	return x, nil
}

// shed refuses a request for which a late router lacks processor time.
func (f *front) shed(x *exchange) *refusal {
	if !f.core.pressure.Shedding() || !f.core.pressure.Sheds(x.info.ID, f.core.teamWeight(x.team)) {
		return nil
	}
	f.core.Update(direct.ShedMsg{
		Now: x.start, Team: x.team, PromptTokens: x.info.PromptTokens, OutputTokens: x.info.OutputTokens,
	})
	return &refusal{http.StatusServiceUnavailable, reasonPressure, shedRetryAfter}
}

// refuseUnknown refuses a request for a route or a key that is not configured. A late
// router may not have read the newest configuration yet, so it sends the caller to another
// router.
func (f *front) refuseUnknown(status int, reason string) *refusal {
	if f.core.pressure.TooLateToRead() {
		return &refusal{http.StatusServiceUnavailable, reasonPressure, shedRetryAfter}
	}
	return &refusal{status: status, reason: reason}
}

func (x *exchange) setTeam(t *direct.Team) {
	x.team, x.memory.Team = t.Name, t.Name
	x.regions = direct.RegionsOf(x.route.Regions, t.Regions)
	if t.Priority != nil {
		x.priority = *t.Priority
	}
}

// setDeadline sets the deadline from the limits of the caller and the route.
func (x *exchange) setDeadline() {
	timeout := defaultTimeout
	if x.route.Timeout > 0 {
		timeout = x.route.Timeout
	}
	if x.info.TimeLeft > 0 {
		timeout = min(timeout, x.info.TimeLeft)
	}
	x.deadline = x.start + timeout
	// The response writers of tests do not support deadlines.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// reject refuses a request that was not admitted, and counts and logs it.
func (f *front) reject(w http.ResponseWriter, r *http.Request, refused refusal) {
	retryAfter := refused.retryAfter
	if refused.status != http.StatusServiceUnavailable {
		retryAfter = 0
	}
	f.refuse(w, refused.status, refused.reason, retryAfter)
	f.stats.Rejected(refused.reason)
	f.logRejected(r, refused)
}

// refuse writes a response of the router itself.
func (f *front) refuse(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		f.dialect.SetRetryAfter(w.Header(), retryAfter)
	}
	f.setConnectionClose(w)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(reason + "\n")) // a caller that has left needs no response
}

// setConnectionClose makes the response close its connection if this router is draining or
// holds too many connections, so that callers reconnect to other routers. Even a late
// router keeps a few. Callers reuse a connection only after a response, so they send no
// faster than the router responds, and a new connection costs the router twice as much as a
// request on an existing one.
func (f *front) setConnectionClose(w http.ResponseWriter) {
	if f.draining.Load() || f.conns.shouldClose(f.core.pressure.TooLateToAccept()) {
		w.Header().Set("Connection", "close")
	}
}

func (f *front) flush(w http.ResponseWriter) error {
	return http.NewResponseController(w).Flush()
}
