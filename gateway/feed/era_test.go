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

// copiedSource has servers and evacuated halls, and comes back from copies of itself.
type copiedSource struct {
	Source
	era, revision uint64
	servers       map[string]direct.Server
	halls         []string
	changed       []Change[direct.Server] // since the last watch
	history       bool                    // it has what a watch asks for
}

func newCopiedSource() *copiedSource {
	return &copiedSource{revision: 10, servers: make(map[string]direct.Server), history: true}
}

func (s *copiedSource) at() uint64 { return NewRevision(s.era, s.revision) }

func (s *copiedSource) put(server direct.Server) {
	s.revision++
	s.servers[server.Name()] = server
	s.changed = append(s.changed, Change[direct.Server]{Object: server})
}

func (s *copiedSource) remove(name string) {
	s.revision++
	s.changed = append(s.changed, Change[direct.Server]{Object: direct.Server{ID: name}, Deleted: true})
	delete(s.servers, name)
}

// restore goes back to an earlier state.
func (s *copiedSource) restore(revision uint64, servers ...direct.Server) {
	s.era++
	s.revision, s.changed, s.history = revision, nil, false
	clear(s.servers)
	for _, one := range servers {
		s.servers[one.Name()] = one
	}
}

func (s *copiedSource) ReadServers(context.Context) ([]direct.Server, uint64, error) {
	s.changed, s.history = nil, true
	var all []direct.Server
	for _, one := range s.servers {
		all = append(all, one)
	}
	return all, s.at(), nil
}

func (s *copiedSource) WatchServers(context.Context, uint64, time.Duration) ([]Change[direct.Server], uint64, error) {
	if !s.history {
		return nil, 0, ErrHistoryGone
	}
	changes := s.changed
	s.changed = nil
	return changes, s.at(), nil
}

func (s *copiedSource) ReadEvacuations(context.Context) ([]string, uint64, error) {
	return s.halls, s.at(), nil
}

// names returns the servers that are listed, by id.
func names(s *Servers) []string {
	var out []string
	for _, one := range s.Newest().Servers {
		out = append(out, one.ID)
	}
	slices.Sort(out)
	return out
}

// TestEraComesBeforeRevision has a later era win over any revision, and an answer from before it
// never.
func TestEraComesBeforeRevision(t *testing.T) {
	require.Greater(t, NewRevision(1, 5), NewRevision(0, 1<<40))
	require.Greater(t, NewRevision(3, 0), NewRevision(2, 1<<40))
	require.EqualValues(t, 7, NewRevision(0, 7), "a source that never came back from a copy counts as before")
	require.EqualValues(t, 3, EraOf(NewRevision(3, 9)))
	require.EqualValues(t, 9, CounterOf(NewRevision(3, 9)))
	s := newTestSet().Servers
	s.OfferAll(&direct.Directory{Revision: NewRevision(1, 5)}, "a")
	s.OfferAll(&direct.Directory{Revision: 1 << 40, Servers: []direct.Server{{ID: "old"}}}, "b")
	require.Empty(t, names(s))
}

// TestServersOfACopy has the source come back from a copy: a server that it lacks stays for a moment
// and is then taken as gone unless it has entered itself again; one that drains still drains; and one
// that went since the copy stays away.
func TestServersOfACopy(t *testing.T) {
	source := newCopiedSource()
	set := newTestSet()
	set.Servers.o.Source = source
	s := set.Servers
	earlier := []direct.Server{{ID: "stays"}, {ID: "drains"}, {ID: "went"}}
	for _, one := range earlier {
		source.put(one)
	}
	at, err := s.Read(t.Context())
	require.NoError(t, err)
	source.remove("went")
	source.put(direct.Server{ID: "drains", Draining: true})
	source.put(direct.Server{ID: "new"})
	source.put(direct.Server{ID: "lost"})
	at, err = s.Watch(t.Context(), at, time.Second)
	require.NoError(t, err)
	before := s.Revision()

	source.restore(3, earlier...)
	_, err = s.Watch(t.Context(), at, time.Second)
	require.ErrorIs(t, err, ErrHistoryGone)
	at, err = s.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"drains", "lost", "new", "stays"}, names(s))
	require.True(t, s.Newest().Servers[0].Draining)
	require.Greater(t, s.Revision(), before, "others take it, though the source's revision is lower")

	source.put(direct.Server{ID: "new"})
	at, err = s.Watch(t.Context(), at, time.Second)
	require.NoError(t, err)
	require.Equal(t, []string{"drains", "lost", "new", "stays"}, names(s))
	s.listed.lostUntil = time.Now()
	held := s.Revision()
	_, err = s.Watch(t.Context(), at, time.Second)
	require.NoError(t, err)
	require.Equal(t, []string{"drains", "new", "stays"}, names(s), "what has not come back is gone")
	require.Greater(t, s.Revision(), held, "others take that too")
}

// TestEvacuationsOfACopy has a copy of the source lack an evacuation: it stays in force until the
// source tells of a change.
func TestEvacuationsOfACopy(t *testing.T) {
	source := newCopiedSource()
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
	require.Empty(t, e.Newest().Halls, "a later state of the same era is the source's word")
}

// TestRoutersFollowErasOfTheSource plays histories of servers that come and go while the source comes
// back from earlier copies of itself, and one router that follows it. What its list holds beside the
// source's is only ever what a copy lacked, and once the time for that is over nothing.
func TestRoutersFollowErasOfTheSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newCopiedSource()
		set := newTestSet()
		set.Servers.o.Source = source
		s := set.Servers
		at, err := s.Read(context.Background())
		require.NoError(t, err)
		type state struct {
			revision uint64
			servers  []direct.Server
		}
		var copies []state
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				copies = append(copies, state{source.revision, slices.Collect(maps.Values(source.servers))})
			case 1:
				if len(copies) > 0 {
					c := rapid.SampledFrom(copies).Draw(t, "copy")
					source.restore(c.revision, c.servers...)
				}
			case 2:
				source.remove(fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "name")))
			default:
				source.put(direct.Server{ID: fmt.Sprintf("i-%d@%d", rapid.IntRange(0, 4).Draw(t, "name"), step)})
			}
			if rapid.Bool().Draw(t, "look") {
				at = followOnce(t, s, at)
				for id := range source.ids() {
					require.True(t, slices.Contains(names(s), id) || s.listed.gone[id] != time.Time{}, "the source has %s", id)
				}
			}
		}
		s.listed.lostUntil = time.Now()
		at = followOnce(t, s, at)
		s.listed.lostUntil = time.Now()
		followOnce(t, s, at)
		for _, id := range names(s) {
			require.True(t, source.ids()[id], "%s is not in the source", id)
		}
	})
}

// ids returns the servers that the source has.
func (s *copiedSource) ids() map[string]bool {
	out := make(map[string]bool)
	for _, one := range s.servers {
		out[one.ID] = true
	}
	return out
}

// followOnce watches the source, or reads it where its history is gone, as a follower does.
func followOnce(t *rapid.T, s *Servers, at uint64) uint64 {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // so that nothing pauses
	next, err := s.Watch(ended, at, time.Second)
	if err != nil {
		next, err = s.Read(ended)
	}
	require.NoError(t, err)
	return next
}
