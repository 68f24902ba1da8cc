package agent

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/internal/framing"
	"github.com/croftvale/croftvale/internal/httpstatus"
	"github.com/croftvale/croftvale/internal/socket"
	"github.com/croftvale/croftvale/relay"
)

const (
	maxIdleServerConns = 64
	serverIdleTimeout  = 90 * time.Second
)

// backend holds the HTTP transports for calls to the backend server. Requests that
// must not be repeated use a new connection each: net/http may resend a request
// by itself if the other side has closed a pooled connection.
type backend struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

func newBackend() *backend {
	pooled := &http.Transport{
		DialContext:         dialServer,
		MaxIdleConnsPerHost: maxIdleServerConns,
		IdleConnTimeout:     serverIdleTimeout,
		DisableCompression:  true,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &backend{pooled: pooled, unpooled: unpooled}
}

// dialServer opens a connection to the backend server. A Transport writes a request while it reads the response.
func dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return socket.KeepWriteErrors(conn), nil
}

func (b *backend) transport(repeatable bool) http.RoundTripper {
	if repeatable {
		return b.pooled
	}
	return b.unpooled
}

// forward sends a started request to the backend server and streams the response
// back.
func (p *proxy) forward(w http.ResponseWriter, r *http.Request, t *target) {
	var sent relay.SendTracker
	req := sent.Trace(newServerRequest(r, t))
	repeatable := r.Header.Get(relay.HeaderRepeatable) == "yes"
	res, err := p.backend.transport(repeatable).RoundTrip(req)
	if err != nil {
		p.handleFailure(w, r, &sent, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if err := httpstatus.CheckFinal(res.StatusCode); err != nil {
		p.handleFailure(w, r, &sent, err)
		return
	}
	p.health.recordSuccess()
	p.applyRetryAfter(res)
	relay.CopyHeader(w.Header(), res.Header, relay.HeaderRan)
	w.Header().Set(relay.HeaderRan, "yes")
	w.WriteHeader(res.StatusCode)
	body := p.checkStreamEnd(res, t, r)
	if _, hasMark := body.(*terminatedStream); !hasMark && framing.IsUnframed(res) {
		witness := newWitness(r.Context(), t.server.Address.String())
		defer witness.Close()
		body = &witnessedBody{body: body, witness: witness}
	}
	if err := relay.Copy(w, body); err != nil {
		p.log.Warn().Str("request", r.Header.Get(relay.HeaderRequestID)).Err(err).Msg("response aborted")
		// Abort the connection, so that a truncated response can't be taken for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
}

// handleFailure records a run without a response from the backend server, and
// sends the router a refusal that states whether the request may have run.
func (p *proxy) handleFailure(w http.ResponseWriter, r *http.Request, sent *relay.SendTracker, err error) {
	ran := "no"
	if sent.MayHaveSent() {
		ran = "unknown"
	}
	if r.Context().Err() == nil {
		if p.health.recordFailure() {
			p.reportHealth(r.Context(), false)
		}
		p.log.Warn().Str("request", r.Header.Get(relay.HeaderRequestID)).Str("ran", ran).Err(err).Msg("no response from backend server")
	}
	refuse(w, ran, "the backend server gave no answer")
}

// newServerRequest returns the request that is sent to the backend server.
func newServerRequest(r *http.Request, t *target) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = t.server.Address.String()
	req := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Header:        http.Header{},
		Body:          relay.NewSingleUseBody(nil, r.Body),
		ContentLength: r.ContentLength,
		Host:          u.Host,
	}
	relay.CopyHeader(req.Header, r.Header, relay.HeaderClaim, relay.HeaderTeam, relay.HeaderWork, relay.HeaderRepeatable)
	work := t.works[fleet.Work(r.Header.Get(relay.HeaderWork))]
	if work.Kind == bundle.KindModel {
		req.Header.Set(headerPriority, priority(r.Header.Get(relay.HeaderClass)))
	}
	return req.WithContext(r.Context())
}

// headerPriority names the header that sets a request's priority in a model
// engine. Lower values run first.
const headerPriority = "X-Request-Priority"

func priority(class string) string {
	c, _ := fleet.ParseClass(class)
	return strconv.Itoa(int(c))
}
