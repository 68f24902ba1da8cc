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
	othersLead    bool
	era           uint64
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

func (k machineKeeper) Stored(stored []origin.StoredVersions) {
	services := make(map[string][]string)
	for _, s := range stored {
		services[s.Service] = s.Versions
	}
	k.Update(origin.StoredMsg{Now: time.Second, Services: services})
}

func (k machineKeeper) list(now time.Duration, versions ...string) {
	k.Update(origin.ListedMsg{Now: now, Services: map[string][]string{"llm": versions}})
}

// newTestRecorder returns the recorder of a router that leads. complete reports that it has been in touch
// since the fleet started for the first time.
func newTestRecorder(t *testing.T, store *memoryVersions, complete bool) (*versionRecorder, machineKeeper) {
	log := eventlog.New(io.Discard, "test")
	t.Cleanup(log.Close)
	keeper := machineKeeper{origin.NewMachine(origin.Router{Address: "10.0.0.1"}, complete)}
	era := func() uint64 { return store.era }
	return newVersionRecorder(keeper, store, func() bool { return !store.othersLead }, era, log), keeper
}

// TestVersionsAreKept runs the recorder through several versions, an outage of the store, a change
// by another router and a loss of the lead. The store must hold all versions of a service whose streams
// may be resumed, also if there is only one.
func TestVersionsAreKept(t *testing.T) {
	store := &memoryVersions{}
	recorder, keeper := newTestRecorder(t, store, true)
	keeper.list(time.Second, "v1")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v1"}, store.kept["llm"].Versions)
	for range 100 {
		require.True(t, recorder.step(t.Context()))
	}
	require.Equal(t, []int{1, 1}, []int{store.reads, store.writes}, "nothing has changed")

	keeper.list(time.Second, "v1", "v2")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v1", "v2"}, store.kept["llm"].Versions)
	keeper.list(time.Second, "v2")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v1", "v2"}, store.kept["llm"].Versions, "streams of v1 can still be resumed")
	require.Equal(t, 2, store.writes)

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

	store.othersLead = true
	writes := store.writes
	keeper.list(time.Second, "v2", "v6")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, writes, store.writes, "only the leader writes")
	store.othersLead = false
	keeper.list(time.Second, "v6")
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, append(all, "v6"), store.kept["llm"].Versions)
	keeper.Update(origin.TickMsg{Now: 2*origin.MaxLifetime + time.Minute})
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v6"}, store.kept["llm"].Versions, "a single version is left")
	keeper.Update(origin.ListedMsg{Now: 3 * origin.MaxLifetime})
	keeper.Update(origin.TickMsg{Now: 5 * origin.MaxLifetime})
	require.True(t, recorder.step(t.Context()))
	require.Empty(t, store.kept, "the service has had no servers for long")
}

// TestVersionsAreWrittenAgain guards against versions that the store lost in a restore from a backup and
// that nobody writes again, as no call of the leader failed.
func TestVersionsAreWrittenAgain(t *testing.T) {
	store := &memoryVersions{}
	recorder, keeper := newTestRecorder(t, store, true)
	keeper.list(time.Second, "v1", "v2")
	require.True(t, recorder.step(t.Context()))
	for _, lost := range [][]string{nil, {"v1"}} {
		store.put("llm", lost...)
		store.era++
		require.True(t, recorder.step(t.Context()))
		require.Equal(t, []string{"v1", "v2"}, store.kept["llm"].Versions)
	}
}

// TestIncompleteVersionsAreNotKept guards against a leader that writes the versions which it has seen for
// all that there were: versions may have gone before it was in touch.
func TestIncompleteVersionsAreNotKept(t *testing.T) {
	store := &memoryVersions{}
	recorder, keeper := newTestRecorder(t, store, false)
	keeper.list(time.Second, "v2")
	require.True(t, recorder.step(t.Context()))
	require.Zero(t, store.writes)
	store.put("llm", "v1")
	store.era++
	require.True(t, recorder.step(t.Context()))
	require.Equal(t, []string{"v1", "v2"}, store.kept["llm"].Versions)
}
