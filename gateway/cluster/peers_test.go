package cluster

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/detector"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/origin"
	"github.com/uber-go/tally/v4"
)

// quietLog is the log of tests that create many routers; it is never closed.
var quietLog = eventlog.New(io.Discard, "test")

// testMachine is the state machine of a router under test.
type testMachine struct {
	mu      sync.Mutex
	machine *direct.Machine
	start   time.Time
}

// newTestMachine returns the state machine of a router that has just started.
func newTestMachine() *testMachine {
	return &testMachine{machine: direct.NewMachine(direct.Options{}), start: time.Now()}
}

func (m *testMachine) Now() time.Duration { return time.Since(m.start) }

func (m *testMachine) Update(msg direct.Msg) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Update(msg)
}

func (m *testMachine) Report() direct.Report  { return direct.Report{} }
func (m *testMachine) Loads() []loads.Load    { return nil }
func (m *testMachine) Teams() []loads.TeamUse { return nil }

func (m *testMachine) TakeCopies() []loads.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.TakeCopies()
}

// newTestFeeds returns the feeds of a fleet that allows evacuations of halls.
func newTestFeeds(source feed.Source, d StateMachine) *feed.Set {
	return feed.NewSet(feed.Options{
		Source: source, StateMachine: d, Log: quietLog, Stats: stats.New(tally.NoopScope), EvacuationDeadline: 5 * time.Second,
	})
}

// newTestPeers returns the peers of a router that started a minute ago.
func newTestPeers(self string, others ...*peer) *Peers {
	m := newTestMachine()
	m.start = m.start.Add(-time.Minute)
	p := &Peers{
		self: self, known: make(map[string]*peer), detector: detector.New(self, 1),
		deps:   Dependencies{StateMachine: m, Feeds: newTestFeeds(nil, m), Pressure: &pressure.Gauge{}},
		onLive: func([]loads.Router) {}, onOrigins: func([]origin.Router) {},
	}
	for _, o := range others {
		o.live, o.lastHeard = true, m.Now()
		p.known[o.address] = o
	}
	return p
}

// follow follows a feed until the test ends.
func follow(t *testing.T, p *Peers, one feed.Feed) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.deps.Feeds.Follow(ctx, one, p)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}
