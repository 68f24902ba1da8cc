package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// youngStreamAge is the age from which each stream of a small fleet is stored while several versions serve.
const youngStreamAge = 100 * time.Millisecond

// maxStreamWrites is the number of writes a second that the routers of a fleet make together.
const maxStreamWrites = 100

// keys returns the streams that are stored.
func (s *memoryStreams) keys() map[origin.Key]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make(map[origin.Key]bool)
	for _, group := range s.streams {
		for _, key := range group.Keys {
			keys[key] = true
		}
	}
	return keys
}

func (s *memoryStreams) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// runStreams runs a recorder until the test ends.
func runStreams(t *testing.T, recorder *streamRecorder) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- recorder.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

// TestYoungStreamsAreStored guards against the loss of all streams of the last half second when all routers
// are killed at once beside two versions, however fast streams begin.
func TestYoungStreamsAreStored(t *testing.T) {
	for _, every := range []time.Duration{7 * time.Millisecond, 37 * time.Millisecond, 230 * time.Millisecond, 1700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store, era := &memoryStreams{}, uint64(0)
			recorder, m := newStreamLife(t, store, &era, "v1", "v2")
			recorder.routers = func() int { return 10 }
			runStreams(t, recorder)
			var begun []time.Time
			const length = 5 * time.Second
			for start := time.Now(); time.Since(start) < length; time.Sleep(every) {
				begun = append(begun, time.Now())
				m.begin(origin.Key(len(begun)), []string{"v1", "v2"}[len(begun)%2])
				stored := store.keys()
				for i, at := range begun {
					if time.Since(at) > youngStreamAge && !stored[origin.Key(i+1)] {
						t.Fatalf("one stream each %v: one that began %v ago is not stored", every, time.Since(at))
					}
				}
			}
			require.LessOrEqual(t, 10*store.writeCount(), int(length.Seconds()+1)*maxStreamWrites)
		})
	}
}

// TestStreamsAreStoredOnceAnotherVersionServes guards against the loss of the first streams beside a version
// that comes while streams are written seldom, since a single one served.
func TestStreamsAreStoredOnceAnotherVersionServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, era := &memoryStreams{}, uint64(0)
		recorder, m := newStreamLife(t, store, &era, "v1", "v2")
		runStreams(t, recorder)
		m.begin(1, "v1")
		time.Sleep(time.Second)
		m.list("v1")
		for key := range origin.Key(200) {
			m.begin(2+key, "v1")
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, store.writeCount(), 8, "one version serves for ten seconds")
		m.list("v1", "v3")
		m.begin(300, "v3")
		time.Sleep(2 * youngStreamAge)
		require.True(t, store.keys()[300])
	})
}
