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

// ErrNoBundle means that no bundle names this agent's server yet.
var ErrNoBundle = errors.New("no bundle in force names this backend server; add it to [[servers]] and roll the bundle")

// target is the backend server as the bundle in force describes it.
type target struct {
	server bundle.Server
	works  map[fleet.Work]bundle.Work
}

// server takes granted requests from routers by HTTP and passes them to the
// backend server when the core says so.
type server struct {
	core   *core
	log    *log.Logger
	target atomic.Pointer[target]
	back   *backend
	health health
	kick   chan struct{} // asks for a probe now
}

func newServer(c *core, logger *log.Logger) *server {
	return &server{core: c, log: logger, back: newBackend(), kick: make(chan struct{}, 1)}
}

// configure takes a new bundle.
func (s *server) configure(f bundle.Active) {
	b := f.Bundle.WithDefaults()
	own, ok := serverOf(b, s.core.settings.Name)
	if !ok {
		s.target.Store(nil)
		return
	}
	t := &target{server: own, works: map[fleet.Work]bundle.Work{}}
	for _, w := range b.Works {
		t.works[w.Name] = w
	}
	s.target.Store(t)
	s.probeNow()
}

// ready says why the agent takes no work, or nil.
func (s *server) ready() error {
	if s.target.Load() == nil {
		return ErrNoBundle
	}
	return s.health.err()
}

// ServeHTTP takes one granted request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	claim, left, _ := strings.Cut(r.Header.Get(relay.HeaderClaim), " ")
	id, ok := fleet.ParseClaimID(claim)
	if !ok || id.Agent != s.core.settings.Name || id.Incarnation != s.core.incarnation {
		refuse(w, "no", "the request names no claim of this agent; requests go through a router")
		return
	}
	t := s.target.Load()
	if t == nil {
		refuse(w, "no", ErrNoBundle.Error())
		return
	}
	if !s.await(r, id.Seq, left) {
		refuse(w, "no", "the claim is not open any more")
		return
	}
	defer s.ended(id.Seq)
	s.forward(w, r, t)
}

// await waits until the core lets the request start. A request whose router
// gives it up meanwhile has not run.
func (s *server) await(r *http.Request, seq uint64, rest string) bool {
	ctx := r.Context()
	reply := make(chan verdict, 1)
	left, oldest := leftOf(rest)
	select {
	case s.core.events <- arriveEvent{seq: seq, key: lineOf(r.Header), left: left, oldest: oldest, reply: reply}:
	case <-ctx.Done():
		return false
	}
	select {
	case v := <-reply:
		return v == verdictStart
	case <-ctx.Done():
		s.core.events <- abandonEvent{seq: seq, reply: reply}
		if <-reply == verdictStart { // it crossed with the giving up
			s.ended(seq)
		}
		return false
	}
}

// lineOf reads which line a granted request is of.
func lineOf(h http.Header) fleet.DemandKey {
	class, _ := fleet.ParseClass(h.Get(relay.HeaderClass))
	return fleet.DemandKey{
		Work:  fleet.Work(h.Get(relay.HeaderWork)),
		Team:  fleet.Team(h.Get(relay.HeaderTeam)),
		Class: class,
	}
}

// leftOf reads what is left of a granted request's line.
func leftOf(text string) (int, time.Duration) {
	count, age, _ := strings.Cut(text, "/")
	n, err := strconv.Atoi(count)
	if err != nil {
		return 0, 0
	}
	ms, _ := strconv.Atoi(age)
	return n, time.Duration(ms) * time.Millisecond
}

func (s *server) ended(seq uint64) { s.core.events <- endEvent{seq} }

// refuse answers without a run, or without knowing whether there was one.
func refuse(w http.ResponseWriter, ran, message string) {
	w.Header().Set(relay.HeaderRan, ran)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(message)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(message)) // a router that has left needs no answer
}
