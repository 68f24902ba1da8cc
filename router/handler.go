package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/internal/framing"
	"github.com/croftvale/croftvale/internal/httpstatus"
	"github.com/croftvale/croftvale/internal/responseabort"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/relay"
	"github.com/phuslu/log"
)

// handler serves callers' HTTP requests. Each request's goroutine submits the
// request to the core and carries out the core's decisions.
type handler struct {
	incarnation fleet.Incarnation
	log         *log.Logger
	now         func() time.Duration
	events      chan<- event
	table       atomic.Pointer[routingTable]
	leaving     atomic.Bool
	lastID      atomic.Uint64
	transport   http.RoundTripper
	useTLS      bool // calls to agents use TLS
	stats       stats
	meter       *link.Meter
}

// ServeHTTP serves one request up to its final response.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := queue.RequestID(h.lastID.Add(1))
	id := fmt.Sprintf("%x-%x", uint64(h.incarnation), uint64(n))
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
		refusedLeaving.write(w, id)
		return
	}
	a, refused := h.admit(w, r, id)
	if refused != nil {
		h.refuse(w, id, *refused)
		return
	}
	decisions, ok := h.submit(n, a)
	if !ok {
		h.refuse(w, id, refusedBusy)
		return
	}
	h.awaitDecisions(w, r, n, a, decisions)
}

// refuse writes a refusal to the caller, and logs and counts it.
func (h *handler) refuse(w http.ResponseWriter, id string, refused refusal) {
	h.stats.refused(refused.kind)
	h.log.Debug().Str("request", id).Str("kind", refused.kind).Msg("request refused")
	refused.write(w, id)
}

// submit sends a request to the core. It returns false, without blocking, if the
// core's event channel is full.
func (h *handler) submit(n queue.RequestID, a *admission) (<-chan decision, bool) {
	decisions := make(chan decision, 1)
	e := requestEvent{
		request:     queue.Request{ID: n, Key: a.demandKey(), Repeatable: a.repeatable, Deadline: h.deadline(a)},
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

// deadline returns a request's deadline on the clock of h.now, or 0 if it has none.
func (h *handler) deadline(a *admission) time.Duration {
	if a.timeLeft == 0 {
		return 0
	}
	return h.now() + a.timeLeft
}

// awaitDecisions carries out the core's decisions until the request has had its
// final response or the caller closes its connection.
func (h *handler) awaitDecisions(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, decisions <-chan decision) {
	submitted := time.Now()
	for {
		select {
		case <-r.Context().Done():
			h.cancelRequest(n, decisions)
			return
		case d := <-decisions:
			if d.refuse != nil {
				h.refuse(w, a.id, refusalOf(*d.refuse))
				return
			}
			h.stats.waited(time.Since(submitted))
			if h.attempt(w, r, n, a, d.run) {
				return
			}
		}
	}
}

// cancelRequest reports to the core that the caller has closed its connection,
// and waits for the core's decision. A decision to run may have been sent before
// the core received the cancellation; such a run is ended here.
func (h *handler) cancelRequest(n queue.RequestID, decisions <-chan decision) {
	h.events <- cancelEvent{n}
	if d := <-decisions; d.run != nil {
		h.events <- runEndEvent{id: n, outcome: queue.OutcomeCut}
	}
}

// attempt sends the request to the agent that claimed it and reports the outcome
// to the core. A request that has not run is refused if its body has been consumed,
// because it can't be sent again. It returns true if the request is finished.
func (h *handler) attempt(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, g *grant) bool {
	outcome := h.callAgent(w, r, n, a, g)
	callerGone := r.Context().Err() != nil
	if outcome == queue.OutcomeNotRun && a.body.consumed && !callerGone {
		h.events <- runEndEvent{id: n, outcome: queue.OutcomeDone, notRun: true}
		h.refuse(w, a.id, refusalOf(queue.RefuseCmd{Reason: queue.ReasonServerFailed, RetryAfter: time.Second}))
		return true
	}
	if callerGone {
		outcome = queue.OutcomeCut
	}
	h.events <- runEndEvent{id: n, outcome: outcome}
	return outcome == queue.OutcomeDone || outcome == queue.OutcomeCut
}

// callAgent makes one call to an agent and streams its response to the caller.
func (h *handler) callAgent(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, g *grant) queue.Outcome {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	responded := make(chan struct{})
	go cancelOnAbort(g.abort, responded, cancel)
	var sent relay.SendTracker
	req := sent.Trace(newAgentRequest(r, a, g).WithContext(ctx))
	if h.useTLS {
		req.URL.Scheme = "https"
	}
	h.meter.CountGrant(len(g.remaining) + 1)
	res, err := h.transport.RoundTrip(req)
	close(responded)
	if err != nil {
		h.log.Warn().Str("request", a.id).Str("agent", g.address).Err(err).Msg("no response from agent")
		if sent.MayHaveSent() {
			return queue.OutcomeUnknown
		}
		return queue.OutcomeNotRun
	}
	defer func() { _ = res.Body.Close() }()
	if err := httpstatus.CheckFinal(res.StatusCode); err != nil {
		h.log.Warn().Str("request", a.id).Str("agent", g.address).Err(err).Msg("no response from agent")
		return queue.OutcomeUnknown
	}
	switch res.Header.Get(relay.HeaderRan) {
	case "yes":
	case "no":
		relay.DiscardBody(res.Body)
		return queue.OutcomeNotRun
	default:
		relay.DiscardBody(res.Body)
		return queue.OutcomeUnknown
	}
	h.events <- responseStartedEvent{n}
	relay.CopyHeader(w.Header(), res.Header)
	w.Header().Set(relay.HeaderRequestID, a.id)
	w.WriteHeader(res.StatusCode)
	if err := copyResponse(w, res); err != nil {
		h.abortResponse(w, r, n, a, err)
	}
	h.stats.served()
	return queue.OutcomeDone
}

// copyResponse forwards the body of an agent's response. One with neither a length nor chunks, which agents always send,
// is a part: its end shows nothing.
func copyResponse(w http.ResponseWriter, res *http.Response) error {
	err := relay.Copy(w, res.Body)
	if err == nil && framing.IsUnframed(res) {
		err = errors.Mark(io.ErrUnexpectedEOF, relay.ErrRead)
	}
	return err
}

// cancelOnAbort cancels a call to an agent that is lost before it responds.
func cancelOnAbort(abort, responded <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-abort:
		cancel()
	case <-responded:
	}
}

// abortResponse aborts the connection to the caller, so that a truncated response
// can't be taken for a complete one.
func (h *handler) abortResponse(w http.ResponseWriter, r *http.Request, n queue.RequestID, a *admission, err error) {
	h.stats.aborted()
	h.log.Warn().Str("request", a.id).Err(err).Msg("response aborted")
	h.events <- runEndEvent{id: n, outcome: queue.OutcomeCut}
	responseabort.Abort(w, r)
}

// newAgentRequest returns the request that is sent to an agent.
func newAgentRequest(r *http.Request, a *admission, g *grant) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = g.address
	req := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Header:        http.Header{},
		Body:          a.body.open(),
		ContentLength: a.body.size,
		Host:          g.address,
	}
	relay.CopyHeader(req.Header, r.Header, "Authorization", "Expect")
	req.Header.Set(relay.HeaderRequestID, a.id)
	req.Header.Set(relay.HeaderClaim, g.claim+" "+g.remaining)
	req.Header.Set(relay.HeaderTeam, string(a.team.Name))
	req.Header.Set(relay.HeaderWork, string(a.work.Name))
	req.Header.Set(relay.HeaderClass, a.class.String())
	req.Header.Set(relay.HeaderRepeatable, "no")
	if a.repeatable {
		req.Header.Set(relay.HeaderRepeatable, "yes")
	}
	return req
}
