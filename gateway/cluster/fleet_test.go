package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// memoryFleet simulates routers in memory on a fake clock. Their peers, heartbeats and detectors
// are real; datagrams are delivered at once.
type memoryFleet struct {
	now       time.Duration
	random    *rand.Rand
	routers   []*memoryRouter
	byAddress map[string]*memoryRouter
	lossRate  float64 // fraction of the datagrams that is lost
}

type memoryRouter struct {
	fleet         *memoryFleet
	peers         *Peers
	heartbeats    *heartbeats
	dead          bool
	nextHeartbeat time.Duration
	nextTick      time.Duration
}

const memoryStep = 10 * time.Millisecond

// memoryMachine is a state machine that only returns the time.
type memoryMachine struct {
	testMachine
	fleet *memoryFleet
}

func (m *memoryMachine) Now() time.Duration { return m.fleet.now }
func (m *memoryMachine) Update(direct.Msg)  {}

// send delivers a datagram to another router.
func (r *memoryRouter) send(address string, _ traffic.Path, body []byte) {
	to := r.fleet.byAddress[address]
	if r.dead || to == nil || to.dead || r.fleet.random.Float64() < r.fleet.lossRate {
		return
	}
	_ = to.heartbeats.receive(body) // heartbeats of this build always decode; see TestDatagrams
}

// newMemoryFleet returns routers in five halls that have received a heartbeat of one another. One
// in seven is powerful.
func newMemoryFleet(size int) *memoryFleet {
	f := &memoryFleet{now: 10 * time.Second, random: rand.New(rand.NewPCG(uint64(size), 3)), byAddress: make(map[string]*memoryRouter)}
	counts := stats.New(tally.NoopScope)
	for i := range size {
		m := &memoryMachine{fleet: f}
		deps := Dependencies{StateMachine: m, Pressure: &pressure.Gauge{}, Log: quietLog, Stats: counts, Traffic: traffic.NewCounter(tally.NoopScope)}
		deps.Feeds = newTestFeeds(nil, m)
		s := Settings{
			Self: Member{Address: fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)}, Hall: fmt.Sprint("hall-", i%5), Power: 0.144, startNanos: int64(i+1) * int64(time.Second),
		}
		if i%7 == 0 {
			s.Power = 1.6
		}
		r := &memoryRouter{fleet: f, peers: newPeers(s, deps)}
		r.peers.onLive = func([]loads.Router) {}
		r.heartbeats = newHeartbeats(s, r, r.peers, deps)
		f.routers = append(f.routers, r)
		f.byAddress[s.Self.Address] = r
	}
	for _, r := range f.routers {
		r.nextHeartbeat = f.now + time.Duration(f.random.Int64N(int64(250*time.Millisecond)))
		r.nextTick = f.now + time.Duration(f.random.Int64N(int64(100*time.Millisecond)))
		for _, other := range f.routers {
			if other != r {
				r.peers.onHeartbeat(heartbeat{
					Address: other.peers.self, Hall: other.peers.place.Hall, Power: other.peers.power, Life: other.heartbeats.startNanos, Seq: 1,
					Extension: heartbeatExtension{Answers: true},
				})
			}
		}
		r.heartbeats.seq.Store(1)
	}
	return f
}

// advance runs the fleet for a duration.
func (f *memoryFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += memoryStep {
		for _, r := range f.routers {
			if r.dead {
				continue
			}
			if f.now >= r.nextTick {
				r.nextTick += 100 * time.Millisecond
				r.heartbeats.execute(r.peers.tick())
			}
			if f.now >= r.nextHeartbeat {
				r.heartbeats.sendRound()
				r.nextHeartbeat = f.now + r.peers.heartbeatInterval()
			}
		}
	}
}

// followers returns the routers that follow the source.
func (f *memoryFleet) followers() []*memoryRouter {
	var out []*memoryRouter
	for _, r := range f.routers {
		if !r.dead && r.peers.Follows() {
			out = append(out, r)
		}
	}
	return out
}

// TestChangeSpreadsAfterLoss loses the routers that follow the source, the first hall, or half of
// all hosts, just before the source changes. Within three seconds of the loss, each remaining
// router must have the change: a router that follows the source offers it, heartbeats announce the
// newer revision, and the other routers pull it.
func TestChangeSpreadsAfterLoss(t *testing.T) {
	losses := map[string]func(f *memoryFleet) func(i int, r *memoryRouter) bool{
		"the followers": func(f *memoryFleet) func(int, *memoryRouter) bool {
			lost := make(map[*memoryRouter]bool)
			for _, r := range f.followers() {
				lost[r] = true
			}
			return func(_ int, r *memoryRouter) bool { return lost[r] }
		},
		"a hall": func(*memoryFleet) func(int, *memoryRouter) bool {
			return func(_ int, r *memoryRouter) bool { return r.peers.place.Hall == "hall-0" }
		},
		"half": func(f *memoryFleet) func(int, *memoryRouter) bool {
			return func(i int, _ *memoryRouter) bool { return i < len(f.routers)/2 }
		},
	}
	for _, size := range []int{30, 200} {
		for name, loss := range losses {
			t.Run(fmt.Sprintf("%s of %d", name, size), func(t *testing.T) {
				t.Parallel()
				f := newMemoryFleet(size)
				f.lossRate = 0.01
				f.advance(2 * time.Second)
				followers := f.followers()
				require.Len(t, followers, minFollowers+1)
				halls := make(map[string]bool)
				for _, r := range followers {
					halls[r.peers.place.Hall] = true
				}
				require.Len(t, halls, minFollowers+1, "followers are in different halls")
				isLost := loss(f)
				for i, r := range f.routers {
					r.dead = isLost(i, r)
				}
				took := f.timeToConverge(t)
				t.Logf("applied by all routers after %v", took)
				require.LessOrEqual(t, took, 3*time.Second)
			})
		}
	}
}

// timeToConverge offers the change to each router that follows the source, and to the others as
// soon as a live peer announces it. It returns the time until all routers have it.
func (f *memoryFleet) timeToConverge(t *testing.T) time.Duration {
	began := f.now
	for f.now-began < 30*time.Second {
		f.advance(100 * time.Millisecond)
		all := true
		for _, r := range f.routers {
			if r.dead {
				continue
			}
			feeds := r.peers.deps.Feeds
			if feeds.Evacuations.Revision() == 0 && (r.peers.Follows() || f.peerHasChange(r)) {
				feeds.Evacuations.Offer(&direct.Evacuations{Revision: 1}, "test")
				r.heartbeats.sendRound()
			}
			all = all && feeds.Evacuations.Revision() == 1
		}
		if all {
			return f.now - began
		}
	}
	return f.now - began
}

// peerHasChange reports whether r has recorded a newer revision at a peer that is still running.
func (f *memoryFleet) peerHasChange(r *memoryRouter) bool {
	for _, ahead := range r.peers.Ahead() {
		for _, address := range ahead.All() {
			if !f.byAddress[address].dead {
				return true
			}
		}
	}
	return false
}

var _ feed.StateMachine = (*memoryMachine)(nil)
