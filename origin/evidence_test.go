package origin

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var errAway = errors.New("the source is away")

// learn tells some routers of the versions that have servers.
func (s *fleetSim) learn(routers []*simRouter, versions ...string) {
	for _, r := range routers {
		s.update(r, ListedMsg{Now: s.now, Services: map[string][]string{service: versions}})
	}
}

// TestCutOffRoutersConcludeNothing guards against a stream of a second version that goes on at the only
// version in the old list of a router which is cut off from the source and from half of the others or
// more. The router may still believe that it is in touch.
func TestCutOffRoutersConcludeNothing(t *testing.T) {
	for _, c := range []struct{ size, cut int }{{2, 1}, {4, 1}, {4, 2}, {5, 2}, {12, 5}} {
		s := newFleetSim(t, c.size, "v1")
		inTouch, cut := s.routers[c.cut:], s.routers[:c.cut]
		for _, r := range cut {
			s.cut[r.self.Address] = true
		}
		s.learn(inTouch, "v1", "v2")
		s.beginMany(inTouch[0], 12, "v2")
		inTouch[0].kill()
		for i := range 12 {
			got := s.lookupKey(cut[0], KeyOf(service, "red", fmt.Sprint("v2-", i)))
			require.Equal(t, Resolution{Evidence: OutOfTouch}, got, "%d of %d cut off", c.cut, c.size)
		}
	}
}

// TestRoutersAgreeWhileSourceIsAway guards against the refusal of streams of a single version while the
// source is away and the routers hear one another.
func TestRoutersAgreeWhileSourceIsAway(t *testing.T) {
	for _, size := range []int{1, 3, 4, 5, 40} {
		s := newFleetSim(t, size, "v1")
		s.storeErr = errAway
		s.beginMany(s.routers[0], 12, "v1")
		if size > 1 {
			s.routers[0].kill()
		}
		for _, r := range s.live() {
			got := s.lookupKey(r, KeyOf(service, "red", "never-begun"))
			require.Equal(t, Resolution{Certainty: Inferred, Evidence: RoutersAgree, Version: "v1"}, got, "%d routers", size)
		}
	}
}

// TestOutdatedListConcludesNothing guards against conclusions of a router that has heard of a newer list
// of servers than its own, while the source is away.
func TestOutdatedListConcludesNothing(t *testing.T) {
	s := newFleetSim(t, 5, "v1")
	s.storeErr = errAway
	for _, c := range []Contact{{Majority: true}, {Current: true}, {Current: true, SourceFailing: true}} {
		s.contact = c
		require.Equal(t, Unknown, s.lookup(s.routers[0], "x").Certainty, "%+v", c)
	}
	s.storeErr = nil
	s.contact = Contact{}
	require.Equal(t, Inferred, s.lookup(s.routers[0], "x").Certainty, "the source is enough")
}

// TestUnseenVersionsAreNotRuledOut guards against conclusions from a list that has a gap: while a router
// was out of touch, a version came and went.
func TestUnseenVersionsAreNotRuledOut(t *testing.T) {
	s := newFleetSim(t, 4, "v1")
	r := s.routers[0]
	s.cut[r.self.Address] = true
	s.update(r, ContactLostMsg{Now: s.now})
	s.learn(s.routers[1:], "v1", "v2")
	s.learn(s.routers[1:], "v1")
	clear(s.cut)
	require.Equal(t, Unknown, s.lookup(r, "x").Certainty, "another router tells of v2")

	s = newFleetSim(t, 1, "v1")
	r = s.routers[0]
	s.update(r, ContactLostMsg{Now: s.now})
	require.Equal(t, HistoryUnknown, s.lookupKey(r, 1).Evidence)
	s.stored = map[string][]string{service: {"v1"}}
	s.advance(storedMaxAge + TickInterval)
	require.Equal(t, Inferred, s.lookup(r, "y").Certainty, "the source tells that there was no other")
}

// TestOldReadIsNoEvidence guards against a lookup that relies on a call to the source which was made
// before a version came.
func TestOldReadIsNoEvidence(t *testing.T) {
	s := newFleetSim(t, 3, "v1")
	r := s.routers[0]
	require.Equal(t, SourceRead, s.lookupKey(r, 1).Evidence)
	s.advance(storedMaxAge + TickInterval)
	for _, other := range s.routers {
		s.cut[other.self.Address] = other == r
	}
	require.Equal(t, OutOfTouch, s.lookupKey(r, 2).Evidence)
}

// TestHistoryIsFoundWithoutLookups verifies that a router which has just started learns of earlier
// versions from other routers, without a call to the source, and from the source if all have started.
func TestHistoryIsFoundWithoutLookups(t *testing.T) {
	s := newFleetSim(t, 4, "v1")
	s.restart(s.routers[0])
	s.exchangeRouters()
	s.advance(IdleInterval + 4*TickInterval)
	require.True(t, s.routers[0].m.versions.isComplete(service))
	s.advance(5 * time.Second)
	require.Zero(t, s.reads)
	s.stored = map[string][]string{service: {"v1"}}
	for _, r := range s.routers {
		s.restart(r)
	}
	s.exchangeRouters()
	s.advance(5 * time.Second)
	for _, r := range s.routers {
		require.True(t, r.m.versions.isComplete(service))
	}
	require.LessOrEqual(t, s.reads, len(s.routers))
}

// TestStoredStreamsOutliveAllRouters guards against the refusal of all streams after all routers were
// killed at once while several versions serve: each stores its streams, and sends those of its previous
// life to their holders when it has started again.
func TestStoredStreamsOutliveAllRouters(t *testing.T) {
	s := newFleetSim(t, 5, "v1", "v2")
	s.beginMany(s.routers[0], 20, "v1")
	s.begin(s.routers[0], "delivered", "v2")
	s.update(s.routers[0], EndedMsg{Key: KeyOf(service, "red", "delivered")})
	s.beginMany(s.routers[1], 20, "v2")
	stored := make([][]StoredStreams, len(s.routers))
	for i, r := range s.routers {
		stored[i] = r.m.OwnStreams(s.now)
	}
	require.Len(t, stored[0], 1, "a stream that was delivered is not stored")
	require.Len(t, stored[0][0].Keys, 20)
	require.Empty(t, stored[2], "records of other routers are not stored")
	for _, r := range s.routers {
		s.restart(r)
	}
	s.exchangeRouters()
	s.advance(TickInterval)
	require.Equal(t, Unknown, s.lookup(s.routers[3], "v1-0").Certainty)
	for i, r := range s.routers {
		require.True(t, r.m.NeedsStoredStreams())
		s.update(r, RecoveredMsg{Now: s.now, Streams: stored[i]})
	}
	s.advance(4 * TickInterval)
	s.requireRecorded(20, "v1")
	s.requireRecorded(20, "v2")
	require.Len(t, s.routers[0].m.OwnStreams(s.now)[0].Keys, 20, "what was recovered is stored again")
}

// TestLateRecordIsNotMissed guards against the refusal of a stream whose record arrives after the first
// answers without one: with several versions, all routers that were asked must have answered, or be late.
func TestLateRecordIsNotMissed(t *testing.T) {
	m := NewMachine(Router{Address: "10.0.0.1", Region: "south"}, true)
	routers := []Router{{Address: "10.0.0.2", Region: "south"}, {Address: "10.0.0.3", Region: "south"}}
	for i := range 4 {
		routers = append(routers, Router{Address: fmt.Sprintf("10.1.0.%d", i), Region: "north"})
	}
	m.Update(RoutersMsg{Routers: routers})
	m.Update(ListedMsg{Now: time.Second, Services: map[string][]string{service: {"v1", "v2"}}})
	cmds := m.Update(LookupMsg{Now: time.Second, ID: 1, Service: service, Key: 7, Contact: Contact{Majority: true, Current: true}})
	for range 2 { // the region of the caller, then the other one
		var asked []string
		var number uint64
		for _, c := range cmds {
			query, ok := c.(QueryCmd)
			require.True(t, ok, "%T", c)
			asked, number = append(asked, query.To), query.Query.Number
		}
		require.GreaterOrEqual(t, len(asked), 2)
		for i, from := range asked {
			isLast := i == len(asked)-1
			answer := Answer{Number: number, Service: service, Found: isLast && from[:4] == "10.1", Version: "v2"}
			cmds = m.Update(AnswerMsg{Now: time.Second, From: from, Answer: answer})
			if !isLast {
				require.Empty(t, cmds, "answer %d of %d", i+1, len(asked))
			}
		}
	}
	require.Equal(t, []Cmd{ResolvedCmd{ID: 1, Resolution: Resolution{Certainty: Recorded, Version: "v2"}}}, cmds)
}
