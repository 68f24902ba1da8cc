package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// memoryVersions stores versions in memory, or fails.
type memoryVersions struct {
	down          bool
	reads, writes int
	revision      uint64
	kept          map[string]origin.StoredVersions
}

func (s *memoryVersions) ReadVersions(context.Context) ([]origin.StoredVersions, error) {
	s.reads++
	if s.down {
		return nil, errors.New("the store is down")
	}
	var out []origin.StoredVersions
	for _, v := range s.kept {
		out = append(out, v)
	}
	return out, nil
}

func (s *memoryVersions) WriteVersions(_ context.Context, v origin.StoredVersions) (uint64, error) {
	s.writes++
	switch {
	case s.down:
		return 0, errors.New("the store is down")
	case s.kept[v.Service].Revision != v.Revision:
		return 0, ErrVersionsChanged
	}
	s.put(v.Service, v.Versions...)
	return s.revision, nil
}

func (s *memoryVersions) put(service string, versions ...string) {
	s.revision++
	if s.kept == nil {
		s.kept = make(map[string]origin.StoredVersions)
	}
	if len(versions) == 0 {
		delete(s.kept, service)
		return
	}
	s.kept[service] = origin.StoredVersions{Service: service, Versions: versions, Revision: s.revision}
}

// machineKeeper is an origin.Machine as a versionKeeper.
type machineKeeper struct{ *origin.Machine }

func (k machineKeeper) Stored(stored []origin.StoredVersions, err error) {
	services := make(map[string][]string)
	for _, s := range stored {
		services[s.Service] = s.Versions
	}
	k.Update(origin.StoredMsg{Now: time.Second, Services: services, Err: err})
}

func (k machineKeeper) list(now time.Duration, versions ...string) {
	k.Update(origin.ListedMsg{Now: now, Services: map[string][]string{"llm": versions}})
}

// TestVersionsAreKept runs the recorder through several versions, an outage of the store, a change
// by another router and a loss of the lead. The store must hold the versions of a service while it
// has several, and nothing else.
func TestVersionsAreKept(t *testing.T) {
	store, leads := &memoryVersions{}, true
	log := eventlog.New(io.Discard, "test")
	defer log.Close()
	keeper := machineKeeper{origin.NewMachine(origin.Router{Address: "10.0.0.1"}, false)}
	keeper.list(time.Second, "v1")
	recorder := newVersionRecorder(keeper, store, func() bool { return leads }, log)
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []int{1, 0}, []int{store.reads, store.writes}, "one version needs no write")

	keeper.list(time.Second, "v1", "v2")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v1", "v2"}, store.kept["llm"].Versions)
	keeper.list(time.Second, "v2")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v1", "v2"}, store.kept["llm"].Versions, "streams of v1 can still be resumed")
	require.Equal(t, 1, store.writes)

	store.put("llm", "v0", "v2") // by another router that led
	store.down = true
	keeper.list(time.Second, "v2", "v3")
	require.False(t, recorder.step(t.Context()))
	store.down = false
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v0", "v1", "v2", "v3"}, store.kept["llm"].Versions, "what another router knew is kept too")

	store.put("llm", "v2", "v5")
	keeper.list(time.Second, "v2", "v4")
	require.False(t, recorder.step(t.Context()), "another router has changed the versions since")
	require.True(t, recorder.step(t.Context()))
	all := []string{"v0", "v1", "v2", "v3", "v4", "v5"}
	require.Equal(t, all, store.kept["llm"].Versions)

	leads = false
	writes := store.writes
	keeper.list(time.Second, "v2", "v6")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, writes, store.writes, "only the leader writes")
	leads = true
	keeper.list(time.Second, "v6")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, append(all, "v6"), store.kept["llm"].Versions)
	keeper.Update(origin.TickMsg{Now: 2*origin.MaxLifetime + time.Minute})
	require.True(t, recorder.step(t.Context()))
	require.Empty(t, store.kept, "a single version is left")
}
