package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const start = "n-0@7"

// meet reports to all routers but the first that a server has restarted.
func (s *fleetSim) meet() {
	for _, r := range s.routers[1:] {
		s.update(r, UnlistedStartMsg{Now: s.now, Service: service, Start: start})
	}
}

// TestMetStartIsNotTakenForTheListedVersion guards against a stream that goes on at the only listed version at a
// router which has met the restarted server that began it, since the stream's router was cut off until it was lost,
// counted as live or not.
func TestMetStartIsNotTakenForTheListedVersion(t *testing.T) {
	for _, size := range []int{2, 3, 5, 12} {
		for _, missing := range []bool{false, true} {
			if size > copies+extraAsked+1 && !missing {
				continue // not all of the others are asked
			}
			s := newUnlistedSim(t, size)
			s.cut[s.routers[0].self.Address] = true
			s.begin(s.routers[0], "odd", UnknownVersion+start)
			s.meet()
			s.advance(100 * time.Millisecond)
			s.routers[0].kill()
			if missing {
				s.exchangeRouters()
				s.contact.Missing = 1
			}
			s.requireUnknown("odd")
			s.storeErr = errAway
			s.contact.SourceFailing = true
			s.requireUnknown("odd")
		}
	}
}

// TestMetStartStopsNoStream guards against streams of the only version that nobody may continue, since a server has
// restarted: while all routers answer, and, whether or not they do, once its entry has come or nobody may resume its
// streams any more.
func TestMetStartStopsNoStream(t *testing.T) {
	for _, size := range []int{2, 3, 5, 12} {
		s := newUnlistedSim(t, size)
		s.meet()
		for _, r := range s.routers {
			require.Equal(t, "v1", s.lookup(r, "v1-0").Version, "%s of %d routers", r.self.Address, size)
		}
		s.contact.Missing = 1
		for _, r := range s.routers[1:] {
			require.Equal(t, VersionUnlisted, s.lookupKey(r, 1).Evidence)
		}
		for _, r := range s.routers[1:] {
			s.update(r, ListedMsg{Now: s.now, Services: s.listed, Servers: []string{start}})
		}
		for _, r := range s.routers {
			require.Equal(t, "v1", s.lookup(r, "v1-0").Version, "%s of %d routers, with its entry", r.self.Address, size)
		}
		s.meet()
		for s.now += MaxLifetime; s.now%time.Second > 0; s.advance(TickInterval) {
		}
		s.advance(2 * IdleInterval)
		for _, r := range s.routers[1:] {
			require.Equal(t, "v1", s.lookup(r, "v1-0").Version, "%s of %d routers, later", r.self.Address, size)
		}
	}
}

// TestStartedRoutersTakeNoMetStartForTheListedVersion guards against a stream that goes on at the only listed version,
// since all routers have just restarted: the one that began it is not known yet to the one that takes it up.
func TestStartedRoutersTakeNoMetStartForTheListedVersion(t *testing.T) {
	s := newUnlistedSim(t, 3)
	for _, r := range s.routers {
		s.restart(r)
	}
	edge1, edge2, edge3 := s.routers[0], s.routers[1], s.routers[2]
	s.begin(edge3, "odd", UnknownVersion+start)
	s.update(edge1, RoutersMsg{Routers: []Router{edge2.self}})
	s.contact.Members, s.contact.Starting = 2, true
	require.Equal(t, "v1", s.lookup(edge1, "v1-0").Version, "it has met no other start")
	s.update(edge1, UnlistedStartMsg{Now: s.now, Service: service, Start: start})
	require.Equal(t, VersionUnlisted, s.lookupKey(edge1, KeyOf(service, "red", "odd")).Evidence)

	s.exchangeRouters()
	s.contact.Members, s.contact.Starting = 3, false
	s.advance(200 * time.Millisecond)
	require.Equal(t, UnknownVersion+start, s.lookup(edge1, "odd").Version)
	require.Equal(t, "v1", s.lookup(edge1, "v1-0").Version)
	edge3.kill()
	require.Equal(t, UnknownVersion+start, s.lookup(edge2, "odd").Version)
}

// TestLostQuestionBesideAMetStartStopsNoStream guards against a stream of the only version that is refused, since one
// question about it was lost, and needs all answers.
func TestLostQuestionBesideAMetStartStopsNoStream(t *testing.T) {
	for _, size := range []int{2, 3, 5, 12} {
		for lost := range min(size-1, copies+extraAsked) {
			s := newUnlistedSim(t, size)
			s.meet()
			r := s.routers[1]
			s.update(r, LookupMsg{Now: s.now, ID: 1, Service: service, Key: 1, Contact: s.contact})
			read := len(s.inFlight) - min(size-1, copies+extraAsked)
			s.inFlight = append(s.inFlight[:read+lost:read+lost], s.inFlight[read+lost+1:]...)
			s.advance(LookupTimeout)
			require.Equal(t, Resolution{Certainty: Inferred, Evidence: SourceRead, Version: "v1"}, s.results[1], "question %d of %d routers", lost, size)
		}
	}
}

// TestStartMetElsewhereIsNotTakenForTheListedVersion guards against a stream that goes on at the only listed version at
// a router that has not met the restarted server, though one that it asks has, and another one is missing. Streams go on
// while none is.
func TestStartMetElsewhereIsNotTakenForTheListedVersion(t *testing.T) {
	for _, size := range []int{3, 5} {
		s := newUnlistedSim(t, size)
		s.cut[s.routers[0].self.Address] = true
		s.begin(s.routers[0], "odd", UnknownVersion+start)
		s.update(s.routers[1], UnlistedStartMsg{Now: s.now, Service: service, Start: start})
		s.advance(100 * time.Millisecond)
		s.routers[0].kill()
		s.requireUnknown("odd")
		s.exchangeRouters()
		s.contact.Missing = 1
		s.requireUnknown("odd")
		s.contact.Missing, s.contact.Starting = 0, true
		s.requireUnknown("odd")
		s.contact.Starting = false
		s.requireGoesOn("v1-0")
	}
}

// TestStartedRouterAsksThoseItHearsOf guards against a stream that goes on at the only listed version, since the router
// that takes it up has just started, and knows no other one yet.
func TestStartedRouterAsksThoseItHearsOf(t *testing.T) {
	for known := range 2 {
		s := newUnlistedSim(t, 3)
		for _, r := range s.routers {
			s.restart(r)
		}
		edge1, edge2, edge3 := s.routers[0], s.routers[1], s.routers[2]
		s.begin(edge3, "odd", UnknownVersion+start)
		s.update(edge1, RoutersMsg{Routers: []Router{edge2.self}[:known]})
		s.contact.Members, s.contact.Starting = known+1, true
		s.update(edge1, LookupMsg{Now: s.now, ID: 1, Service: service, Key: KeyOf(service, "red", "odd"), Contact: s.contact})
		s.advance(200 * time.Millisecond)
		require.Empty(t, s.results)
		s.exchangeRouters()
		s.advance(100 * time.Millisecond)
		require.Equal(t, Resolution{Certainty: Recorded, Version: UnknownVersion + start}, s.results[1], "it knew %d routers", known)
	}
}

// TestStartedRouterAloneStopsNoStream guards against streams of a single version that are refused since no other router
// is heard.
func TestStartedRouterAloneStopsNoStream(t *testing.T) {
	s := newUnlistedSim(t, 1)
	s.restart(s.routers[0])
	s.contact.Starting = true
	require.Equal(t, Resolution{Certainty: Inferred, Evidence: SourceRead, Version: "v1"}, s.lookupKey(s.routers[0], 1))
}
