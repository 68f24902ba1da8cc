package gateway

import (
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

// reasonPressure says that the router had no processor time for a request.
const reasonPressure = "pressure"

const (
	// noConfigAfter is when callers come back to a router that knows no
	// configuration yet.
	noConfigAfter = 300 * time.Millisecond
	// drainAfter is when callers of a router that ends come back; another
	// router serves them.
	drainAfter = 50 * time.Millisecond
	// defaultHold bounds a request whose route and caller set no time.
	defaultHold = 60 * time.Second
	// shedAfter is when callers that were refused at the door come back: soon,
	// since they reach another router.
	shedAfter = 20 * time.Millisecond
	// writeSlack is how long a caller may take for what is written last.
	writeSlack = 2 * time.Second
	// memoryAfter is when callers come back whose body can't be held: answers that others read
	// slowly take seconds, and another router has memory.
	memoryAfter = 300 * time.Millisecond
)

// front serves callers.
type front struct {
	core     *core
	feeds    *feed.Set
	pool     *backend.Pool
	dialect  Dialect
	log      *eventlog.Log
	stats    *stats.Stats
	queues   *sendqueue.Queues // what is held for callers
	draining atomic.Bool       // answers close their connections
	refusing atomic.Bool       // new requests are refused
	active   atomic.Int64
	callers  *callers
	ages     callerAges
	accounts accounts
	hall     string         // of this router
	movable  bool           // requests may move to servers of another version while they run
	traffic  *traffic.Meter // of requests
	// eventDelay is the most that an event may take to reach its caller.
	eventDelay time.Duration
}

// ServeHTTP takes one request to its final answer.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.callers.lost(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	start := f.core.Now()
	switch {
	case f.refusing.Load():
		f.reject(w, r, refusal{http.StatusServiceUnavailable, "draining", drainAfter})
		return
	case !f.feeds.Complete():
		f.reject(w, r, refusal{http.StatusServiceUnavailable, "no_config", noConfigAfter})
		return
	}
	table := f.feeds.Config.Table()
	x, refused := f.admit(w, r, table, start)
	if refused != nil {
		f.reject(w, r, *refused)
		return
	}
	if cmd, hopeless := f.core.door(x.request()); hopeless {
		x.last.PlacementBasis.Share = cmd.Share
		x.refuse(string(cmd.Reason), cmd.RetryAfter)
		return
	}
	defer f.queues.Close(&x.memory)
	if refused = f.shed(x); refused == nil {
		refused = x.readBody(max(table.Config.Limits.BodyBytes, 1))
	}
	if refused != nil {
		f.reject(w, r, *refused)
		return
	}
	if f.core.pressure.Shedding() && f.callers.left(x.ctx) {
		// A late router reads what its caller may have given up. To send it on would
		// use up its team's allowance for nobody.
		x.callerLeft(0)
		panic(http.ErrAbortHandler)
	}
	x.run()
	if x.left {
		// net/http would answer with an empty success, which a caller that has closed
		// only its side of the connection would read.
		panic(http.ErrAbortHandler)
	}
}

// refusal is an answer of the router's own to a request that was not admitted.
type refusal struct {
	status int
	reason string
	after  time.Duration // when to come back; it counts with 503 only
}

// admit finds the route and the team of a request.
func (f *front) admit(w http.ResponseWriter, r *http.Request, table *direct.Table, start time.Duration) (*exchange, *refusal) {
	route := table.Route(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return nil, f.unknown(http.StatusNotFound, "no_route")
	}
	envelope, err := f.dialect.Envelope(r.Header)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "bad_header", 0}
	}
	x := &exchange{
		front: f, w: w, r: r, ctx: r.Context(), envelope: envelope, route: route,
		service: table.Service(route, envelope.ID), regions: direct.RegionsOf(route.Regions), priority: route.Priority, start: start,
	}
	if table.HasTeams() {
		team := table.Team(envelope.Key)
		if team == nil && !route.Anonymous {
			return nil, f.unknown(http.StatusUnauthorized, "unknown_key")
		}
		if team != nil {
			x.setTeam(team)
		}
	}
	if caller := callerOf(x.ctx); caller != nil {
		caller.SetTeam(x.team)
	}
	x.setDeadline()
	x.age = f.ages.of(start, route.Name, envelope.Left)
	return x, nil
}

// shed refuses a request for which a late router has no processor time.
func (f *front) shed(x *exchange) *refusal {
	if !f.core.pressure.Shedding() || !f.core.pressure.Sheds(x.envelope.ID, f.core.weightOf(x.team)) {
		return nil
	}
	f.core.Update(direct.ShedMsg{
		Now: x.start, Team: x.team, PromptTokens: x.envelope.PromptTokens, OutputTokens: x.envelope.OutputTokens,
	})
	return &refusal{http.StatusServiceUnavailable, reasonPressure, shedAfter}
}

// unknown refuses what the configuration does not hold. A router that is late may
// not have come to read a newer one: its caller asks another.
func (f *front) unknown(status int, reason string) *refusal {
	if f.core.pressure.TooLateToRead() {
		return &refusal{http.StatusServiceUnavailable, reasonPressure, shedAfter}
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

// setDeadline bounds the request by what the caller and the route allow.
func (x *exchange) setDeadline() {
	hold := defaultHold
	if x.route.Timeout > 0 {
		hold = x.route.Timeout
	}
	if x.envelope.Left > 0 {
		hold = min(hold, x.envelope.Left)
	}
	x.deadline = x.start + hold
	// Test writers have no deadlines.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(hold + writeSlack))
}

// reject answers a request that was not admitted.
func (f *front) reject(w http.ResponseWriter, r *http.Request, refused refusal) {
	after := refused.after
	if refused.status != http.StatusServiceUnavailable {
		after = 0
	}
	f.refuse(w, refused.status, refused.reason, after)
	f.stats.Rejected(refused.reason)
	f.logRejected(r, refused)
}

// refuse writes an answer of the router's own.
func (f *front) refuse(w http.ResponseWriter, status int, reason string, after time.Duration) {
	if after > 0 {
		f.dialect.ComeBack(w.Header(), after)
	}
	f.closing(w)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(reason + "\n")) // a caller that has left needs no answer
}

// closing asks callers to open new connections elsewhere while this router ends, or
// holds too many of them. A few are kept also where the router runs late: its callers
// use each again when it has answered, so they ask no faster than it answers, and a
// new connection costs it twice what a request on an old one does.
func (f *front) closing(w http.ResponseWriter) {
	if f.draining.Load() || f.callers.crowded(f.core.pressure.TooLateToAccept()) {
		w.Header().Set("Connection", "close")
	}
}

func (f *front) flush(w http.ResponseWriter) error {
	return http.NewResponseController(w).Flush()
}
