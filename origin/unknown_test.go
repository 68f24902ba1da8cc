package origin

import (
	"fmt"
	"testing"
	"time"

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
			s.begin(s.routers[0], fmt.Sprint("odd-", i), unknownVersion)
		}
		s.advance(2 * TickInterval)
		s.routers[0].kill()
		for _, r := range s.live() {
			for i := range 20 {
				require.Equal(t, Resolution{Evidence: Contradicted}, s.lookupKey(r, KeyOf(service, "red", fmt.Sprint("odd-", i))), "%d routers", size)
			}
		}
		s.requireRecorded(20, "v1")
		for _, r := range s.live() {
			for _, kept := range r.m.Keep() {
				require.Equal(t, []string{"v1"}, kept.Versions, "the source keeps versions that have a name")
			}
		}
	}
}

// TestUnknownVersionIsForgotten verifies that streams without a record go on at the only version again once
// none of an unknown version can be resumed any more.
func TestUnknownVersionIsForgotten(t *testing.T) {
	s := newFleetSim(t, 3, "v1")
	s.update(s.routers[0], BegunMsg{Now: s.now, Service: service, Record: Record{Key: 1, Version: unknownVersion, Lifetime: 5 * time.Second}})
	require.Equal(t, Unknown, s.lookup(s.routers[0], "x").Certainty)
	s.advance(8 * time.Second)
	require.Equal(t, Inferred, s.lookup(s.routers[0], "x").Certainty)
}

// TestStreamsOfUnknownVersionOutliveAllRouters guards against such streams being taken for those of the
// listed version after all routers were killed.
func TestStreamsOfUnknownVersionOutliveAllRouters(t *testing.T) {
	s := newFleetSim(t, 3, "v1")
	s.stored = map[string][]string{service: {"v1"}}
	s.begin(s.routers[0], "odd", unknownVersion)
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
