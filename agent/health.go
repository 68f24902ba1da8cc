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
	"github.com/croftvale/croftvale/internal/retryafter"
)

const (
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	// maxProbe is how much of a probe's answer is read, in bytes.
	maxProbeBody = 1 << 16
	// firstProbe is the time to the first probe after a failure.
	initialProbeDelay = 100 * time.Millisecond
	// lastProbe bounds how long a server that is well again stays unused.
	maxProbeDelay = 5 * time.Second
	// failuresToEject is how many runs in a row must fail before the server
	// takes no more work until a probe passes.
	failuresToEject = 3
)

// ErrServerDown means that the backend server does not answer.
var ErrServerDown = errors.New("the backend server does not answer its probe; restart it or correct its address in the bundle")

// ErrServerBusy means that the backend server asked for no requests for some time.
var ErrServerBusy = errors.New("the backend server turned a request away and asked for no more for some time")

// health is what runs and probes say of the server. The zero value is down.
type health struct {
	mu           sync.Mutex
	up           bool
	failures     int
	load         Load
	backoffUntil time.Time // the server asked for nothing until then
}

// Load is what a server last said of itself in answer to its probe, if it
// answers in JSON. It lags by up to the time between two probes, so decisions
// don't rest on it: the agent counts its own runs.
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

// backOff notes until when the server asked for nothing, and tells whether that takes it out.
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

// backoffLeft returns how much longer the server wants nothing.
func (h *health) remainingBackoff() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.backoffUntil)
}

// passed notes an answer.
func (h *health) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

// failed notes a run without an answer and tells whether it was the one that
// takes the server out.
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

// probed notes a probe and returns whether the server is up. One that was under way when the
// server asked for nothing doesn't bring it back.
func (h *health) recordProbe(ok bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = ok && !time.Now().Before(h.backoffUntil)
	if ok {
		h.failures = 0
	}
	return h.up
}

// probe asks the server for its health until ctx ends, less and less often
// while it is down.
func (s *server) runProbes(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialProbeDelay
	b.MaxInterval = maxProbeDelay
	reported := false
	for ctx.Err() == nil {
		if remaining := s.health.remainingBackoff(); remaining > 0 {
			s.reportHealth(ctx, false)
			reported = false
			s.waitForProbe(ctx, remaining)
			continue
		}
		wasUp := s.health.err() == nil
		up := s.health.recordProbe(s.probeServer(ctx))
		if up != wasUp || !reported {
			s.reportHealth(ctx, up)
			reported = true
		}
		delay := probeInterval
		if up {
			b.Reset()
		} else {
			delay = b.NextBackOff()
		}
		s.waitForProbe(ctx, delay)
	}
}

// probeNow ends the pause between two probes.
func (s *server) probeNow() {
	select {
	case s.probeRequests <- struct{}{}:
	default: // one is asked for already
	}
}

// pause waits for the next probe, or until one is asked for.
func (s *server) waitForProbe(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.probeRequests:
	case <-t.C:
	}
}

func (s *server) reportHealth(ctx context.Context, up bool) {
	select {
	case s.core.events <- healthEvent{up}:
	case <-ctx.Done():
	}
}

// probeOnce tells whether the server answers its probe well.
func (s *server) probeServer(ctx context.Context) bool {
	t := s.target.Load()
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
	res, err := s.backend.unpooled.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	var load Load
	if json.NewDecoder(io.LimitReader(res.Body, maxProbeBody)).Decode(&load) == nil {
		s.health.setLoad(load)
	}
	s.applyRetryAfter(res)
	return res.StatusCode < http.StatusInternalServerError
}

// heed takes the server out for as long as it asked for by turning a request away: the agent
// is the only one that calls it, so nothing reaches it in that time.
func (s *server) applyRetryAfter(res *http.Response) {
	backoff, err := retryafter.Read(res.StatusCode, res.Header)
	if err != nil {
		s.log.Warn().Err(err).Msg("backend server's answer can't be read; it counts as if it had asked for nothing")
	}
	if backoff > 0 && s.health.setBackoff(time.Now().Add(backoff)) {
		s.log.Info().Dur("for", backoff).Msg("backend server asked for no more requests")
		s.probeNow() // tells the core, and waits
	}
}
