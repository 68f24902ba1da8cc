package origin

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStreamOfUnknownVersionIsNotGuessed guards against a stream that began at a server which had restarted
// since its entry, and goes on at the only version that is listed. Others of that version go on.
func TestStreamOfUnknownVersionIsNotGuessed(t *testing.T) {
	for _, size := range []int{3, 5, 12} {
		s := newFleetSim(t, size, "v1")
		s.stored = map[string][]string{service: {"v1"}}
		s.beginMany(s.routers[0], 20, "v1")
		for i := range 20 {
			s.begin(s.routers[0], fmt.Sprint("odd-", i), UnknownVersion)
		}
		s.advance(2 * TickInterval)
		s.routers[0].kill()
		for _, r := range s.live() {
			for i := range 20 {
				require.Equal(t, Resolution{Evidence: VersionUnlisted}, s.lookupKey(r, KeyOf(service, "red", fmt.Sprint("odd-", i))), "%d routers", size)
			}
		}
		for _, r := range s.live() {
			for i := range 20 {
				require.Equal(t, "v1", s.lookup(r, fmt.Sprint("v1-", i)).Version, "%d routers", size)
			}
			for _, kept := range r.m.Keep() {
				require.Equal(t, []string{"v1"}, kept.Versions, "the source keeps versions that have a name")
			}
		}
	}
}

// TestUnknownVersionBecomesKnown guards against a stream that can't be continued though the entry of its server
// has come, in whatever order the two records arrive. A version that is known is never replaced.
func TestUnknownVersionBecomesKnown(t *testing.T) {
	for _, order := range [][]string{{UnknownVersion, "v2"}, {"v2", UnknownVersion}, {UnknownVersion, "v2", UnknownVersion}} {
		s := newFleetSim(t, 5, "v1")
		s.stored = map[string][]string{service: {"v1"}}
		for _, version := range order {
			s.begin(s.routers[0], "odd", version)
			s.advance(2 * TickInterval)
		}
		s.learn(s.routers, "v1", "v2")
		s.advance(4 * TickInterval)
		s.routers[0].kill()
		for _, r := range s.live() {
			require.Equal(t, Resolution{Certainty: Recorded, Version: "v2"}, s.lookup(r, "odd"))
		}
	}
	require.Equal(t, contradicted, merge("v1", "v2"))
	require.Equal(t, contradicted, merge(contradicted, "v2"))
}

// TestStreamsOfUnknownVersionOutliveAllRouters guards against such streams being taken for those of the
// listed version after all routers were killed.
func TestStreamsOfUnknownVersionOutliveAllRouters(t *testing.T) {
	s := newFleetSim(t, 3, "v1")
	s.stored = map[string][]string{service: {"v1"}}
	s.begin(s.routers[0], "odd", UnknownVersion)
	stored := s.routers[0].m.OwnStreams(s.now)
	require.Len(t, stored, 1)
	for _, r := range s.routers {
		s.restart(r)
	}
	s.exchangeRouters()
	s.update(s.routers[0], RecoveredMsg{Now: s.now, Streams: stored})
	s.advance(4 * TickInterval)
	require.Equal(t, Unknown, s.lookup(s.routers[2], "odd").Certainty)
}

// TestUnknownVersionIsToldAtOnce guards against a stream that is resumed at another router, and goes on at the only
// version that is listed, before the record that its version is unknown was sent.
func TestUnknownVersionIsToldAtOnce(t *testing.T) {
	m := NewMachine(Router{Address: "10.0.0.1"}, true)
	m.Update(RoutersMsg{Routers: []Router{{Address: "10.0.0.2"}, {Address: "10.0.0.3"}}})
	records := []Record{{Key: 1, Version: UnknownVersion, Lifetime: MinLifetime}}
	cmds := m.Update(BegunMsg{Service: service, Record: records[0]})
	require.Equal(t, []Cmd{RecordsCmd{To: "10.0.0.2", Records: records}, RecordsCmd{To: "10.0.0.3", Records: records}, StoreStreamsCmd{}}, cmds)
}
