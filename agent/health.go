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
)

const (
	probeEvery   = time.Second
	probeTimeout = 2 * time.Second
	// maxProbe is how much of a probe's answer is read, in bytes.
	maxProbe = 1 << 16
	// firstProbe is the time to the first probe after a failure.
	firstProbe = 100 * time.Millisecond
	// lastProbe bounds how long a server that is well again stays unused.
	lastProbe = 5 * time.Second
	// failuresToEject is how many runs in a row must fail before the server
	// takes no more work until a probe passes.
	failuresToEject = 3
)

// ErrServerDown means that the backend server does not answer.
var ErrServerDown = errors.New("the backend server does not answer its probe; restart it or correct its address in the bundle")

// health is what runs and probes say of the server. The zero value is down.
type health struct {
	mu       sync.Mutex
	up       bool
	failures int
	load     Load
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
	if h.up {
		return nil
	}
	return ErrServerDown
}

// passed notes an answer.
func (h *health) passed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

// failed notes a run without an answer and tells whether it was the one that
// takes the server out.
func (h *health) failed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	ejected := h.up && h.failures >= failuresToEject
	if ejected {
		h.up = false
	}
	return ejected
}

// probed notes a probe and returns whether the server is up.
func (h *health) probed(ok bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = ok
	if ok {
		h.failures = 0
	}
	return h.up
}

// probe asks the server for its health until ctx ends, less and less often
// while it is down.
func (s *server) probe(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstProbe
	b.MaxInterval = lastProbe
	known := false
	for ctx.Err() == nil {
		was := s.health.err() == nil
		up := s.health.probed(s.probeOnce(ctx))
		if up != was || !known {
			s.tellCore(ctx, up)
			known = true
		}
		pause := probeEvery
		if up {
			b.Reset()
		} else {
			pause = b.NextBackOff()
		}
		s.pause(ctx, pause)
	}
}

// pause waits for the next probe, or until one is asked for.
func (s *server) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.kick:
	case <-t.C:
	}
}

func (s *server) tellCore(ctx context.Context, up bool) {
	select {
	case s.core.events <- healthEvent{up}:
	case <-ctx.Done():
	}
}

// probeOnce tells whether the server answers its probe well.
func (s *server) probeOnce(ctx context.Context) bool {
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
	res, err := s.back.fresh.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	var load Load
	if json.NewDecoder(io.LimitReader(res.Body, maxProbe)).Decode(&load) == nil {
		s.health.setLoad(load)
	}
	return res.StatusCode < http.StatusInternalServerError
}
