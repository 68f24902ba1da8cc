package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// memoryStreams stores the streams of one router in memory, or fails.
type memoryStreams struct {
	mu            sync.Mutex
	down          bool
	reads, writes int
	revision      uint64 // of the object; 0: there is none
	lastRevision  uint64
	streams       []origin.StoredStreams
}

func (s *memoryStreams) ReadStreams(context.Context, string) ([]origin.StoredStreams, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, 0, errors.New("the store is down")
	}
	return s.streams, s.revision, nil
}

func (s *memoryStreams) WriteStreams(_ context.Context, _ string, streams []origin.StoredStreams, revision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.down:
		return 0, errors.New("the store is down")
	case revision != s.revision:
		return 0, ErrStreamsChanged
	}
	s.lastRevision++
	s.streams, s.revision = streams, s.lastRevision
	if len(streams) == 0 {
		s.revision = 0
	}
	return s.revision, nil
}

// streamMachine is an origin.Machine as a streamKeeper.
type streamMachine struct {
	mu    sync.Mutex
	inner *origin.Machine
	store chan struct{}
}

func (m *streamMachine) OwnStreams() []origin.StoredStreams {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.OwnStreams(time.Second)
}

func (m *streamMachine) NeedsStoredStreams() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.NeedsStoredStreams()
}

func (m *streamMachine) SeveralServe() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.SeveralServe()
}

func (m *streamMachine) StreamsToStore() <-chan struct{} { return m.store }

func (m *streamMachine) Recovered(streams []origin.StoredStreams) {
	m.update(origin.RecoveredMsg{Now: time.Second, Streams: streams})
}

func (m *streamMachine) begin(key origin.Key, version string) {
	m.update(origin.BegunMsg{Now: time.Second, Service: "llm", Record: origin.Record{Key: key, Version: version, Lifetime: time.Minute}})
}

func (m *streamMachine) list(versions ...string) {
	m.update(origin.ListedMsg{Now: time.Second, Services: map[string][]string{"llm": versions}})
}

func (m *streamMachine) update(msg origin.Msg) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cmd := range m.inner.Update(msg) {
		if _, ok := cmd.(origin.StoreStreamsCmd); ok {
			select {
			case m.store <- struct{}{}:
			default:
			}
		}
	}
}

// newStreamLife returns the recorder of a life of a router.
func newStreamLife(t *testing.T, store *memoryStreams, era *uint64, versions ...string) (*streamRecorder, *streamMachine) {
	log := eventlog.New(io.Discard, "test")
	t.Cleanup(log.Close)
	m := &streamMachine{inner: origin.NewMachine(origin.Router{Address: "10.0.0.1"}, true), store: make(chan struct{}, 1)}
	m.list(versions...)
	return &streamRecorder{
		keeper: m, store: store, router: "edge-1", log: log,
		routers: func() int { return 1 }, era: func() uint64 { return *era },
	}, m
}

// TestStreamsAreStoredAndRecovered guards against streams whose version nobody knows after all routers
// were killed: a router stores its streams while there are several versions, and its next life recovers
// them before it stores its own.
func TestStreamsAreStoredAndRecovered(t *testing.T) {
	store, era := &memoryStreams{}, uint64(0)
	recorder, m := newStreamLife(t, store, &era, "v1")
	m.begin(1, "v1")
	require.NoError(t, recorder.step(t.Context()))
	require.Zero(t, store.reads+store.writes, "one version costs no call")
	m.list("v1", "v2")
	m.begin(2, "v2")
	require.NoError(t, recorder.step(t.Context()))
	require.Len(t, store.streams, 2)
	writes := store.writes
	require.NoError(t, recorder.step(t.Context()))
	require.Equal(t, writes, store.writes, "nothing has changed")

	recorder, m = newStreamLife(t, store, &era, "v1", "v2")
	m.begin(3, "v2")
	store.down = true
	require.Error(t, recorder.step(t.Context()))
	store.down = false
	require.NoError(t, recorder.step(t.Context()))
	require.Equal(t, 3, countStreams(store.streams))
	require.Equal(t, 3, countStreams(m.OwnStreams()))
}

// TestStreamsAreStoredAgain guards against streams that the store lost in a restore from a backup, or
// that a write of an earlier life replaced.
func TestStreamsAreStoredAgain(t *testing.T) {
	store, era := &memoryStreams{}, uint64(0)
	recorder, m := newStreamLife(t, store, &era, "v1", "v2")
	m.begin(1, "v1")
	require.NoError(t, recorder.step(t.Context()))
	store.streams, store.revision = nil, 0
	era++
	require.ErrorIs(t, recorder.step(t.Context()), ErrStreamsChanged)
	require.NoError(t, recorder.step(t.Context()))
	require.Equal(t, 1, countStreams(store.streams))

	store.streams, store.revision = []origin.StoredStreams{{Service: "llm", Version: "v2", Keys: []origin.Key{7}, Left: time.Minute}}, 99
	m.begin(2, "v2")
	require.ErrorIs(t, recorder.step(t.Context()), ErrStreamsChanged)
	require.NoError(t, recorder.step(t.Context()))
	require.Equal(t, 3, countStreams(store.streams), "what the earlier life knew is kept")
}

// TestStoredStreamsAreRemoved verifies that the object goes once no stream needs it.
func TestStoredStreamsAreRemoved(t *testing.T) {
	store, era := &memoryStreams{}, uint64(0)
	recorder, m := newStreamLife(t, store, &era, "v1", "v2")
	m.begin(1, "v1")
	require.NoError(t, recorder.step(t.Context()))
	m.update(origin.EndedMsg{Key: 1})
	require.NoError(t, recorder.step(t.Context()))
	require.Zero(t, store.revision)
	writes := store.writes
	require.NoError(t, recorder.step(t.Context()))
	require.Equal(t, writes, store.writes)
}

// TestStreamWritesAreBounded verifies that a large fleet makes at most a hundred writes a second, and that
// few are made while a single version serves.
func TestStreamWritesAreBounded(t *testing.T) {
	era := uint64(0)
	recorder, m := newStreamLife(t, &memoryStreams{}, &era, "v1", "v2")
	for _, routers := range []int{1, 10, 100, 670, 1000} {
		recorder.routers = func() int { return routers }
		require.LessOrEqual(t, float64(routers)/recorder.interval().Seconds(), 100.0)
	}
	recorder.routers = func() int { return 10 }
	require.Equal(t, streamsInterval, recorder.interval())
	recorder.hasRead = true
	m.list("v2")
	require.Equal(t, quietStreamsInterval, recorder.interval())
}
