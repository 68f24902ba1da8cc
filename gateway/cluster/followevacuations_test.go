package cluster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/stretchr/testify/require"
)

// hallSource is a source of evacuated data halls that can be down.
type hallSource struct {
	feed.Source
	mu       sync.Mutex
	down     bool
	revision uint64
	halls    []string
	changes  []feed.Change[string]
	calls    int
}

var errDown = errors.New("the source is down")

func (s *hallSource) ReadEvacuations(context.Context) ([]string, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.changes = nil
	if s.down {
		return nil, 0, errDown
	}
	return s.halls, s.revision, nil
}

func (s *hallSource) WatchEvacuations(ctx context.Context, _ uint64, most time.Duration) ([]feed.Change[string], uint64, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; wait.Sleep(ctx, 10*time.Millisecond) {
		s.mu.Lock()
		changes, at, down := s.changes, s.revision, s.down
		s.changes = nil
		s.mu.Unlock()
		if down {
			return nil, 0, errDown
		}
		if len(changes) > 0 {
			return changes, at, nil
		}
	}
	return nil, s.revision, ctx.Err()
}

func (s *hallSource) set(revision uint64, change feed.Change[string], halls ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.halls = revision, halls
	s.changes = append(s.changes, change)
}

func (s *hallSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// startEvacuations starts the follower of evacuations of a router without peers.
func startEvacuations(t *testing.T, source feed.Source) *feed.Evacuations {
	p := newTestPeers("d")
	p.isSeed = true
	p.deps.StateMachine = newTestMachine()
	p.deps.Feeds = newTestFeeds(source, p.deps.StateMachine)
	follow(t, p, p.deps.Feeds.Evacuations)
	return p.deps.Feeds.Evacuations
}

// TestEvacuationsAreFollowed evacuates a hall and ends the evacuation while the source is down. The
// change must arrive within the bound once the source is up again.
func TestEvacuationsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &hallSource{revision: 3}
		halls := startEvacuations(t, source)
		time.Sleep(time.Second)
		require.EqualValues(t, 3, halls.Newest().Revision)
		require.Empty(t, halls.Newest().Halls)
		source.set(5, feed.Change[string]{Object: "b"}, "b")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"b"}, halls.Newest().Halls)
		source.setDown(true)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"b"}, halls.Newest().Halls, "the last known state holds while the source is down")
		source.set(8, feed.Change[string]{Object: "b", Deleted: true})
		source.setDown(false)
		time.Sleep(2 * time.Second)
		require.Empty(t, halls.Newest().Halls)
		require.EqualValues(t, 8, halls.Revision())
	})
}

// TestEvacuationsCostFewCalls checks that a follower calls the source about once in two seconds
// while nothing changes.
func TestEvacuationsCostFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &hallSource{revision: 3}
		startEvacuations(t, source)
		time.Sleep(time.Minute)
		source.mu.Lock()
		defer source.mu.Unlock()
		require.LessOrEqual(t, source.calls, 32)
	})
}
