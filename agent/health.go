package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/httpstatus"
	"github.com/croftvale/croftvale/internal/retryafter"
)

const (
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	// maxProbeBody bounds how much of a probe's response is read, in bytes.
	maxProbeBody = 1 << 16
	// initialProbeDelay is the delay of the first probe after a failure.
	initialProbeDelay = 100 * time.Millisecond
	// maxProbeDelay bounds the time for which a recovered server stays unused.
	maxProbeDelay = 5 * time.Second
	// failuresToEject is the number of consecutive failed runs after which the
	// server gets no more requests until a probe succeeds.
	failuresToEject = 3
)

// ErrServerDown means that the backend server does not respond.
var ErrServerDown = errors.New("the backend server does not answer its probe; restart it or correct its address in the bundle")

// ErrServerBusy means that the backend server has rejected a request with a
// Retry-After time that is not over yet.
var ErrServerBusy = errors.New("the backend server turned a request away and asked for no more for some time")

// health tracks whether the backend server is up, from the results of runs and
// probes. The zero value is down.
type health struct {
	mu           sync.Mutex
	up           bool
	failures     int
	load         Load
	backoffUntil time.Time // no requests or probes are sent until then
}

// Load holds the request counts that a backend server last reported in a JSON
// response to a probe. It is stale by up to the probe interval, so no decision
// depends on it: the agent counts its own runs.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (h *health) setLoad(l Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.load = l
}

func (h *health) lastLoad() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load
}

func (h *health) err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.up:
		return nil
	case time.Now().Before(h.backoffUntil):
		return ErrServerBusy
	}
	return ErrServerDown
}

// setBackoff marks the server as down, at least until the given time. It never
// shortens a backoff. It reports whether the server was up.
func (h *health) setBackoff(until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.backoffUntil) {
		h.backoffUntil = until
	}
	wasUp := h.up
	h.up = false
	return wasUp
}

// remainingBackoff returns the time until the server's backoff ends. It is negative
// after that.
func (h *health) remainingBackoff() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.backoffUntil)
}

// recordSuccess records a run that got a response.
func (h *health) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

// recordFailure records a run that got no response. It reports whether this failure
// ejected the server.
func (h *health) recordFailure() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	ejected := h.up && h.failures >= failuresToEject
	if ejected {
		h.up = false
	}
	return ejected
}

// recordProbe records the result of a probe and reports whether the server is up. A
// probe that succeeds during a backoff does not end the backoff.
func (h *health) recordProbe(ok bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = ok && !time.Now().Before(h.backoffUntil)
	if ok {
		h.failures = 0
	}
	return h.up
}

// runProbes probes the server until ctx ends, with exponential backoff while it is
// down.
func (p *proxy) runProbes(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialProbeDelay
	b.MaxInterval = maxProbeDelay
	reported := false
	for ctx.Err() == nil {
		if remaining := p.health.remainingBackoff(); remaining > 0 {
			p.reportHealth(ctx, false)
			reported = false
			p.waitForProbe(ctx, remaining)
			continue
		}
		wasUp := p.health.err() == nil
		up := p.health.recordProbe(p.probeServer(ctx))
		if up != wasUp || !reported {
			p.reportHealth(ctx, up)
			reported = true
		}
		delay := probeInterval
		if up {
			b.Reset()
		} else {
			delay = b.NextBackOff()
		}
		p.waitForProbe(ctx, delay)
	}
}

// probeNow requests a probe without waiting for the probe interval.
func (p *proxy) probeNow() {
	select {
	case p.probeRequests <- struct{}{}:
	default: // a probe is already requested
	}
}

// waitForProbe waits for d, or until a probe is requested.
func (p *proxy) waitForProbe(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-p.probeRequests:
	case <-t.C:
	}
}

// reportHealth sends the server's health to the core.
func (p *proxy) reportHealth(ctx context.Context, up bool) {
	select {
	case p.core.events <- healthEvent{up}:
	case <-ctx.Done():
	}
}

// probeServer sends one probe and reports whether the server responds without a
// server error (status 5xx).
func (p *proxy) probeServer(ctx context.Context) bool {
	t := p.target.Load()
	if t == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	u := "http://" + t.server.Address.String() + t.server.Probe
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false
	}
	res, err := p.backend.unpooled.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	var load Load
	if json.NewDecoder(io.LimitReader(res.Body, maxProbeBody)).Decode(&load) == nil {
		p.health.setLoad(load)
	}
	p.applyRetryAfter(res)
	return httpstatus.CheckFinal(res.StatusCode) == nil && res.StatusCode < http.StatusInternalServerError
}

// applyRetryAfter starts a backoff if the server rejects a request with a
// Retry-After time. Only the agent calls the server, so no request reaches it
// during the backoff.
func (p *proxy) applyRetryAfter(res *http.Response) {
	backoff, err := retryafter.Read(res.StatusCode, res.Header)
	if err != nil {
		p.log.Warn().Err(err).Msg("invalid Retry-After in response of backend server; ignored")
	}
	if backoff > 0 && p.health.setBackoff(time.Now().Add(backoff)) {
		p.log.Info().Dur("for", backoff).Msg("backend server asked for a backoff")
		p.probeNow() // wakes runProbes, which reports the backoff to the core and waits for its end
	}
}
