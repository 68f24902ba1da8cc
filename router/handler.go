package router

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/relay"
	"github.com/phuslu/log"
)

// handler serves callers. Each request has a goroutine of its own, which asks
// the core what to do and does it.
type handler struct {
	incarnation fleet.Incarnation
	log         *log.Logger
	now         func() time.Duration
	events      chan<- event
	table       atomic.Pointer[table]
	leaving     atomic.Bool
	next        atomic.Uint64
	transport   http.RoundTripper
	secure      bool // agents are called by TLS
	stats       stats
	meter       *link.Meter
}

// ServeHTTP takes one request to its final answer.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := queue.RequestID(h.next.Add(1))
	id := fmt.Sprintf("%x-%x", uint64(h.incarnation), uint64(n))
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
		refusedLeaving.write(w, id)
		return
	}
	a, f := h.admit(w, r, id)
	if f != nil {
		h.refused(w, id, *f)
		return
	}
	decisions, ok := h.enter(n, a)
	if !ok {
		h.refused(w, id, refusedBusy)
		return
	}
	h.follow(w, r, n, a, decisions)
}

func (h *handler) refused(w http.ResponseWriter, id string, f refusal) {
	h.stats.refused(f.kind)
	h.log.Debug().Str("request", id).Str("kind", f.kind).Msg("request refused")
	f.write(w, id)
}

// enter hands a request to the core; a full core refuses it at once.
func (h *handler) enter(n queue.RequestID, a *admission) (<-chan decision, bool) {
	decisions := make(chan decision, 1)
	e := arriveEvent{
		request:     queue.Request{ID: n, Key: a.key(), Repeatable: a.repeatable, Deadline: h.deadline(a)},
		idempotency: a.idempotency,
		reply:       decisions,
	}
	select {
	case h.events <- e:
		return decisions, true
	default:
		return nil, false
	}
}

func (h *handler) deadline(a *admission) time.Duration {
	if a.timeLeft == 0 {
		return 0
	}
	return h.now() + a.timeLeft
}

// follow carries out the core's decisions until the request is answered.
func (h *handler) follow(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, decisions <-chan decision) {
	began := time.Now()
	for {
		select {
		case <-r.Context().Done():
			h.abandon(n, decisions)
			return
		case d := <-decisions:
			if d.refuse != nil {
				h.refused(w, a.id, refusalOf(*d.refuse))
				return
			}
			h.stats.waited(time.Since(began))
			if h.runOnce(w, r, n, a, d.run) {
				return
			}
		}
	}
}

// abandon tells the core that the caller has hung up, and waits for its word:
// a decision to run may have crossed with the hanging up.
func (h *handler) abandon(n queue.RequestID, decisions <-chan decision) {
	h.events <- cancelEvent{n}
	if d := <-decisions; d.run != nil {
		h.events <- endEvent{id: n, outcome: queue.OutcomeCut}
	}
}

// runOnce sends the request to the agent that claimed it and tells the core
// how that ended. It returns whether the request has had its final answer.
func (h *handler) runOnce(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, g *grant) bool {
	outcome := h.exchange(w, r, n, a, g)
	gone := r.Context().Err() != nil
	if outcome == queue.OutcomeNotRun && a.body.spent && !gone {
		h.events <- endEvent{id: n, outcome: queue.OutcomeDone, unrun: true}
		h.refused(w, a.id, refusalOf(queue.RefuseCmd{Reason: queue.ReasonServerFailed, RetryAfter: time.Second}))
		return true
	}
	if gone {
		outcome = queue.OutcomeCut
	}
	h.events <- endEvent{id: n, outcome: outcome}
	return outcome == queue.OutcomeDone || outcome == queue.OutcomeCut
}

// exchange makes one call to an agent and passes its answer on.
func (h *handler) exchange(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, g *grant) queue.Outcome {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answered := make(chan struct{})
	go giveUp(g.abort, answered, cancel)
	var sent relay.SendTracker
	req := sent.Trace(outgoing(r, a, g).WithContext(ctx))
	if h.secure {
		req.URL.Scheme = "https"
	}
	h.meter.CountGrant(len(g.left) + 1)
	res, err := h.transport.RoundTrip(req)
	close(answered)
	if err != nil {
		h.log.Warn().Str("request", a.id).Str("agent", g.serve).Err(err).Msg("agent gave no answer")
		if sent.MayHaveSent() {
			return queue.OutcomeUnknown
		}
		return queue.OutcomeNotRun
	}
	defer func() { _ = res.Body.Close() }()
	switch res.Header.Get(relay.HeaderRan) {
	case "yes":
	case "no":
		relay.DiscardBody(res.Body)
		return queue.OutcomeNotRun
	default:
		relay.DiscardBody(res.Body)
		return queue.OutcomeUnknown
	}
	h.events <- answerEvent{n}
	relay.CopyHeader(w.Header(), res.Header)
	w.Header().Set(relay.HeaderRequestID, a.id)
	w.WriteHeader(res.StatusCode)
	if err := relay.Copy(w, res.Body); err != nil {
		h.cut(n, a, err)
	}
	h.stats.served()
	return queue.OutcomeDone
}

// giveUp cancels a call whose agent is lost before it has answered.
func giveUp(abort, answered <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-abort:
		cancel()
	case <-answered:
	}
}

// cut breaks the connection to the caller, so that a part of an answer can't
// pass for the whole.
func (h *handler) cut(n queue.RequestID, a *admission, err error) {
	h.stats.cut()
	h.log.Warn().Str("request", a.id).Err(err).Msg("answer cut")
	h.events <- endEvent{id: n, outcome: queue.OutcomeCut}
	panic(http.ErrAbortHandler)
}

// outgoing builds the request to an agent.
func outgoing(r *http.Request, a *admission, g *grant) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = g.serve
	req := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Header:        http.Header{},
		Body:          a.body.open(),
		ContentLength: a.body.size,
		Host:          g.serve,
	}
	relay.CopyHeader(req.Header, r.Header, "Authorization", "Expect")
	req.Header.Set(relay.HeaderRequestID, a.id)
	req.Header.Set(relay.HeaderClaim, g.claim+" "+g.left)
	req.Header.Set(relay.HeaderTeam, string(a.team.Name))
	req.Header.Set(relay.HeaderWork, string(a.work.Name))
	req.Header.Set(relay.HeaderClass, a.class.String())
	req.Header.Set(relay.HeaderRepeatable, "no")
	if a.repeatable {
		req.Header.Set(relay.HeaderRepeatable, "yes")
	}
	return req
}
