package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
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
	// writeSlack is how long a caller may take for what is written last.
	writeSlack = 2 * time.Second
)

// front serves callers.
type front struct {
	core     *core
	state    *state
	pool     *backend.Pool
	dialect  Dialect
	journal  *journal
	stats    *stats
	bodies   atomic.Int64 // bytes of bodies that are held
	most     int64        // bytes of bodies that may be held
	draining atomic.Bool  // answers close their connections
	refusing atomic.Bool  // new requests are refused
	active   atomic.Int64
	callers  *callers
	ages     callerAges
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
	start := f.core.now()
	table := f.state.table.Load()
	switch {
	case f.refusing.Load():
		f.turnAway(w, r, http.StatusServiceUnavailable, "draining", drainAfter)
		return
	case table == nil || f.state.directory.Load() == nil:
		f.turnAway(w, r, http.StatusServiceUnavailable, "no_config", noConfigAfter)
		return
	}
	x, status, reason := f.admit(w, r, table, start)
	if x == nil {
		after := noConfigAfter
		if reason == reasonPressure {
			after = shedAfter
		}
		f.turnAway(w, r, status, reason, after)
		return
	}
	held := int64(len(x.body))
	if f.bodies.Add(held) > f.most {
		f.bodies.Add(-held)
		f.turnAway(w, r, http.StatusServiceUnavailable, "memory", noConfigAfter)
		return
	}
	defer f.bodies.Add(-held)
	x.run()
}

// admit checks a request at the door.
func (f *front) admit(w http.ResponseWriter, r *http.Request, table *direct.Table, start time.Duration) (*exchange, int, string) {
	route := table.Route(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return f.unknown(http.StatusNotFound, "no_route")
	}
	envelope, err := f.dialect.Envelope(r.Header)
	if err != nil {
		return nil, http.StatusBadRequest, "bad_header"
	}
	x := &exchange{
		front: f, w: w, r: r, ctx: r.Context(), envelope: envelope, route: route,
		service: table.Service(route, envelope.ID), priority: route.Priority, start: start,
	}
	if table.HasTeams() {
		team := table.Team(envelope.Key)
		if team == nil && !route.Anonymous {
			return f.unknown(http.StatusUnauthorized, "unknown_key")
		}
		if team != nil {
			x.setTeam(team)
		}
	}
	if f.core.pressure.passesOn() && f.core.pressure.sheds(envelope.ID, f.core.weightOf(x.team)) {
		f.core.update(direct.ShedMsg{Now: start, Team: x.team, PromptTokens: envelope.PromptTokens, OutputTokens: envelope.OutputTokens})
		return nil, http.StatusServiceUnavailable, reasonPressure
	}
	x.setDeadline()
	x.age = f.ages.of(start, route.Name, envelope.Left)
	x.body, err = readBody(w, r, max(table.Config.Limits.BodyBytes, 1))
	if err != nil {
		return nil, bodyStatus(err), "body"
	}
	return x, 0, ""
}

// unknown refuses what the configuration does not hold. A router that is late may
// not have come to read a newer one: its caller asks another.
func (f *front) unknown(status int, reason string) (*exchange, int, string) {
	if f.core.pressure.late() >= shedAll {
		return nil, http.StatusServiceUnavailable, reasonPressure
	}
	return nil, status, reason
}

func (x *exchange) setTeam(t *direct.Team) {
	x.team = t.Name
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
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(hold + writeSlack))
}

func bodyStatus(err error) int {
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// turnAway answers a request that was not admitted.
func (f *front) turnAway(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	if status != http.StatusServiceUnavailable {
		after = 0
	}
	f.refuse(w, status, reason, after)
	f.stats.turnedAway(reason)
	f.journal.turnedAway(f, r, status, reason)
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
	_, _ = w.Write([]byte(reason + "\n"))
}

// closing asks callers to open new connections elsewhere while this router
// ends, or holds too many of them.
func (f *front) closing(w http.ResponseWriter) {
	if f.draining.Load() || f.callers.crowded() || f.core.pressure.wantsFewer() {
		w.Header().Set("Connection", "close")
	}
}

func (f *front) flush(w http.ResponseWriter) error {
	return http.NewResponseController(w).Flush()
}
