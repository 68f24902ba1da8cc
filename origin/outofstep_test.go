package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilentRoutersConfirmNoVersion guards against a stream of a second version that goes on at the only one
// which the source keeps, since the router that writes what it keeps is out of step and no other one answers.
func TestSilentRoutersConfirmNoVersion(t *testing.T) {
	for _, size := range []int{2, 3, 4, 12} {
		s := newFleetSim(t, size, "v1")
		s.contact.Members = size
		s.stored, s.listed = map[string][]string{service: {"v1"}}, map[string][]string{service: {"v1", "v2"}}
		s.learn(s.routers[1:2], "v1", "v2")
		s.begin(s.routers[1], "v2-0", "v2")
		for _, r := range s.routers[1:] {
			r.kill()
		}
		require.Equal(t, Unknown, s.lookup(s.routers[0], "v2-0").Certainty, "%d routers", size)
	}
}

// TestSilentRoutersStopNoStream guards against the refusal of streams of a single version while no other router
// answers and the source does.
func TestSilentRoutersStopNoStream(t *testing.T) {
	s := newFleetSim(t, 4, "v1")
	s.contact.Members = 4
	for _, r := range s.routers[1:] {
		r.kill()
	}
	require.Equal(t, Resolution{Certainty: Inferred, Evidence: SourceRead, Version: "v1"}, s.lookupKey(s.routers[0], 1))
	s.exchangeRouters() // the others count as lost
	s.contact.Majority = false
	s.advance(storedMaxAge + TickInterval)
	require.Equal(t, Resolution{Certainty: Inferred, Evidence: SourceRead, Version: "v1"}, s.lookupKey(s.routers[0], 2))
}

// TestLostRoutersAreNotMost guards against two routers, both cut off from the others, that agree on the only version
// that they know while the source is away: the others count as lost by then, and are not asked.
func TestLostRoutersAreNotMost(t *testing.T) {
	s := newFleetSim(t, 4, "v1")
	s.contact.Members, s.storeErr = 4, errAway
	s.update(s.routers[0], RoutersMsg{Routers: []Router{s.routers[1].self}})
	require.Equal(t, OutOfTouch, s.lookupKey(s.routers[0], 1).Evidence)
}

// TestRecordDuringLookupCounts guards against a stream that goes on at the only version that is known, though its
// record came while it was looked up: a router that wakes up reads its datagrams and its requests at once.
func TestRecordDuringLookupCounts(t *testing.T) {
	m := NewMachine(Router{Address: "10.0.0.1"}, true)
	m.Update(ListedMsg{Now: time.Second, Services: map[string][]string{service: {"v1"}}})
	cmds := m.Update(LookupMsg{Now: time.Second, ID: 1, Service: service, Key: 7, Contact: Contact{Majority: true, Current: true, Members: 1}})
	require.Equal(t, []Cmd{ReadStoredCmd{}}, cmds)
	m.Update(RecordsMsg{Now: time.Second, Records: []Record{{Key: 7, Version: "v2", Lifetime: time.Minute}}})
	cmds = m.Update(StoredMsg{Now: time.Second, Services: map[string][]string{service: {"v1"}}, Requested: true})
	require.Equal(t, []Cmd{ResolvedCmd{ID: 1, Resolution: Resolution{Certainty: Recorded, Version: "v2"}}}, cmds)
}
