package agent

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/relay"
	"github.com/phuslu/log"
)

// ErrNoBundle means that the agent has no bundle that names its server.
var ErrNoBundle = errors.New("no bundle in force names this backend server; add it to [[servers]] and roll the bundle")

// target holds the backend server and the works that the active bundle defines.
type target struct {
	server bundle.Server
	works  map[fleet.Work]bundle.Work
}

// proxy accepts granted requests from routers over HTTP and forwards each to the
// backend server once the core has decided to start it.
type proxy struct {
	core          *core
	log           *log.Logger
	target        atomic.Pointer[target]
	backend       *backend
	health        health
	probeRequests chan struct{} // buffers one request for a probe
}

func newProxy(c *core, logger *log.Logger) *proxy {
	return &proxy{core: c, log: logger, backend: newBackend(), probeRequests: make(chan struct{}, 1)}
}

// configure applies a new bundle and requests a probe.
func (p *proxy) configure(active bundle.Active) {
	b := active.Bundle.WithDefaults()
	own, ok := findServer(b, p.core.settings.Name)
	if !ok {
		p.target.Store(nil)
		return
	}
	t := &target{server: own, works: map[fleet.Work]bundle.Work{}}
	for _, w := range b.Works {
		t.works[w.Name] = w
	}
	p.target.Store(t)
	p.probeNow()
}

// ready returns nil if the agent accepts requests, and the reason otherwise.
func (p *proxy) ready() error {
	if p.target.Load() == nil {
		return ErrNoBundle
	}
	return p.health.err()
}

// ServeHTTP serves one granted request.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	claim, remaining, _ := strings.Cut(r.Header.Get(relay.HeaderClaim), " ")
	id, ok := fleet.ParseClaimID(claim)
	if !ok || id.Agent != p.core.settings.Name || id.Incarnation != p.core.incarnation {
		refuse(w, "no", "the request names no claim of this agent; requests go through a router")
		return
	}
	t := p.target.Load()
	if t == nil {
		refuse(w, "no", ErrNoBundle.Error())
		return
	}
	if !p.awaitStart(r, id.Seq, remaining) {
		refuse(w, "no", "the claim is not open any more")
		return
	}
	defer p.reportEnd(id.Seq)
	p.forward(w, r, t)
}

// awaitStart waits for the core's decision and reports whether the request starts.
// A request that its router cancels meanwhile has not run.
func (p *proxy) awaitStart(r *http.Request, seq uint64, remainingText string) bool {
	ctx := r.Context()
	reply := make(chan decision, 1)
	remaining, oldestAge := parseRemaining(remainingText)
	select {
	case p.core.events <- requestEvent{seq: seq, key: demandKeyOf(r.Header), remaining: remaining, oldestAge: oldestAge, reply: reply}:
	case <-ctx.Done():
		return false
	}
	select {
	case d := <-reply:
		return d == decisionStart
	case <-ctx.Done():
		p.core.events <- cancelEvent{seq: seq, reply: reply}
		if <-reply == decisionStart { // started before the core handled the cancellation
			p.reportEnd(seq)
		}
		return false
	}
}

// demandKeyOf returns the work, team and class of a granted request.
func demandKeyOf(h http.Header) fleet.DemandKey {
	class, _ := fleet.ParseClass(h.Get(relay.HeaderClass))
	return fleet.DemandKey{
		Work:  fleet.Work(h.Get(relay.HeaderWork)),
		Team:  fleet.Team(h.Get(relay.HeaderTeam)),
		Class: class,
	}
}

// parseRemaining parses the number of requests that remain in a granted request's
// queue and the age of the oldest one. It returns zeros if text is invalid.
func parseRemaining(text string) (int, time.Duration) {
	count, age, _ := strings.Cut(text, "/")
	n, err := strconv.Atoi(count)
	if err != nil {
		return 0, 0
	}
	ms, _ := strconv.Atoi(age)
	return n, time.Duration(ms) * time.Millisecond
}

func (p *proxy) reportEnd(seq uint64) { p.core.events <- runEndEvent{seq} }

// refuse sends the router a refusal. ran is "no" if the request has not run, and
// "unknown" if it may have run.
func refuse(w http.ResponseWriter, ran, message string) {
	w.Header().Set(relay.HeaderRan, ran)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(message)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(message)) // fails only if the router has closed the connection
}
