package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// restorableSource is a source of servers and evacuated halls that can be restored from backups.
type restorableSource struct {
	Source
	era, revision uint64
	servers       map[string]direct.Server
	halls         []string
	changes       []Change[direct.Server] // since the last call of WatchServers or ReadServers
	hasHistory    bool                    // false after a restore until the next read
}

func newRestorableSource() *restorableSource {
	return &restorableSource{revision: 10, servers: make(map[string]direct.Server), hasHistory: true}
}

func (s *restorableSource) currentRevision() uint64 { return NewRevision(s.era, s.revision) }

func (s *restorableSource) put(server direct.Server) {
	s.revision++
	s.servers[server.Name()] = server
	s.changes = append(s.changes, Change[direct.Server]{Object: server})
}

func (s *restorableSource) remove(name string) {
	s.revision++
	s.changes = append(s.changes, Change[direct.Server]{Object: direct.Server{ID: name}, Deleted: true})
	delete(s.servers, name)
}

// restore returns to an earlier state in a new era.
func (s *restorableSource) restore(revision uint64, servers ...direct.Server) {
	s.era++
	s.revision, s.changes, s.hasHistory = revision, nil, false
	clear(s.servers)
	for _, server := range servers {
		s.servers[server.Name()] = server
	}
}

func (s *restorableSource) ReadServers(context.Context) ([]direct.Server, uint64, error) {
	s.changes, s.hasHistory = nil, true
	var all []direct.Server
	for _, server := range s.servers {
		all = append(all, server)
	}
	return all, s.currentRevision(), nil
}

func (s *restorableSource) WatchServers(context.Context, uint64, time.Duration) ([]Change[direct.Server], uint64, error) {
	if !s.hasHistory {
		return nil, 0, ErrHistoryGone
	}
	changes := s.changes
	s.changes = nil
	return changes, s.currentRevision(), nil
}

func (s *restorableSource) ReadEvacuations(context.Context) ([]string, uint64, error) {
	return s.halls, s.currentRevision(), nil
}

// serverIDs returns the sorted ids of the listed servers.
func serverIDs(s *Servers) []string {
	var out []string
	for _, server := range s.Newest().Servers {
		out = append(out, server.ID)
	}
	slices.Sort(out)
	return out
}

// TestEraComesBeforeRevision checks that a later era is newer than any revision of an earlier one,
// and that a list of an earlier era does not replace one of a later era.
func TestEraComesBeforeRevision(t *testing.T) {
	require.Greater(t, NewRevision(1, 5), NewRevision(0, 1<<40))
	require.Greater(t, NewRevision(3, 0), NewRevision(2, 1<<40))
	require.EqualValues(t, 7, NewRevision(0, 7), "revision of a source that was never restored")
	require.EqualValues(t, 3, EraOf(NewRevision(3, 9)))
	require.EqualValues(t, 9, CounterOf(NewRevision(3, 9)))
	s := newTestSet().Servers
	s.OfferAll(&direct.Directory{Revision: NewRevision(1, 5)}, "a")
	s.OfferAll(&direct.Directory{Revision: 1 << 40, Servers: []direct.Server{{ID: "old"}}}, "b")
	require.Empty(t, serverIDs(s))
}

// TestServersAfterRestore restores the source from a backup. A server that the backup lacks stays listed
// for a limited time and is then removed unless it has written its entry again. A draining server keeps
// draining, and a server that was removed after the backup is not listed again.
func TestServersAfterRestore(t *testing.T) {
	source := newRestorableSource()
	set := newTestSet()
	set.Servers.o.Source = source
	s := set.Servers
	earlier := []direct.Server{{ID: "stays"}, {ID: "drains"}, {ID: "went"}}
	for _, server := range earlier {
		source.put(server)
	}
	revision, err := s.Read(t.Context())
	require.NoError(t, err)
	source.remove("went")
	source.put(direct.Server{ID: "drains", Draining: true})
	source.put(direct.Server{ID: "new"})
	source.put(direct.Server{ID: "lost"})
	revision, err = s.Watch(t.Context(), revision, time.Second)
	require.NoError(t, err)
	beforeRestore := s.Revision()

	source.restore(3, earlier...)
	_, err = s.Watch(t.Context(), revision, time.Second)
	require.ErrorIs(t, err, ErrHistoryGone)
	revision, err = s.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"drains", "lost", "new", "stays"}, serverIDs(s))
	require.True(t, s.Newest().Servers[0].Draining)
	require.Greater(t, s.Revision(), beforeRestore, "the new list is newer although the source's counter is lower")

	source.put(direct.Server{ID: "new"})
	revision, err = s.Watch(t.Context(), revision, time.Second)
	require.NoError(t, err)
	require.Equal(t, []string{"drains", "lost", "new", "stays"}, serverIDs(s))
	s.listed.missingUntil = time.Now()
	beforeRemoval := s.Revision()
	_, err = s.Watch(t.Context(), revision, time.Second)
	require.NoError(t, err)
	require.Equal(t, []string{"drains", "new", "stays"}, serverIDs(s), "a server without a new entry is removed")
	require.Greater(t, s.Revision(), beforeRemoval, "the list without the missing server is newer")
}

// TestEvacuationsAfterRestore restores the source from a backup that lacks an evacuation. The evacuation
// stays in force until the source reports a later state.
func TestEvacuationsAfterRestore(t *testing.T) {
	source := newRestorableSource()
	set := newTestSet()
	set.Evacuations.o.Source = source
	e := set.Evacuations
	source.halls = []string{"a"}
	_, err := e.Read(t.Context())
	require.NoError(t, err)
	source.restore(2)
	source.halls = nil
	_, err = e.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, e.Newest().Halls)
	source.revision++
	_, err = e.Read(t.Context())
	require.NoError(t, err)
	require.Empty(t, e.Newest().Halls, "a later state of the same era replaces the evacuations")
}

// TestServersAcrossRestores generates histories in which servers are added and removed, the source is
// restored from earlier backups, and a router follows the source. The router lists every server of the
// source unless it was removed, and no other server once missingUntil has passed.
func TestServersAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newRestorableSource()
		set := newTestSet()
		set.Servers.o.Source = source
		s := set.Servers
		revision, err := s.Read(context.Background())
		require.NoError(t, err)
		type state struct {
			revision uint64
			servers  []direct.Server
		}
		var backups []state
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				backups = append(backups, state{source.revision, slices.Collect(maps.Values(source.servers))})
			case 1:
				if len(backups) > 0 {
					backup := rapid.SampledFrom(backups).Draw(t, "copy")
					source.restore(backup.revision, backup.servers...)
				}
			case 2:
				source.remove(fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "name")))
			default:
				source.put(direct.Server{ID: fmt.Sprintf("i-%d@%d", rapid.IntRange(0, 4).Draw(t, "name"), step)})
			}
			if rapid.Bool().Draw(t, "look") {
				revision = followOnce(t, s, revision)
				for id := range source.ids() {
					require.True(t, slices.Contains(serverIDs(s), id) || s.listed.removed[id] != time.Time{}, "the source has %s", id)
				}
			}
		}
		s.listed.missingUntil = time.Now()
		revision = followOnce(t, s, revision)
		s.listed.missingUntil = time.Now()
		followOnce(t, s, revision)
		for _, id := range serverIDs(s) {
			require.True(t, source.ids()[id], "%s is not in the source", id)
		}
	})
}

// ids returns the ids of the servers in the source.
func (s *restorableSource) ids() map[string]bool {
	out := make(map[string]bool)
	for _, server := range s.servers {
		out[server.ID] = true
	}
	return out
}

// followOnce watches the source, or reads it if the watch fails, as a follower does.
func followOnce(t *rapid.T, s *Servers, revision uint64) uint64 {
	canceled, cancel := context.WithCancel(context.Background())
	cancel() // so that Watch does not pause
	next, err := s.Watch(canceled, revision, time.Second)
	if err != nil {
		next, err = s.Read(canceled)
	}
	require.NoError(t, err)
	return next
}
