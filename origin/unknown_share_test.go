package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnknownVersionCostsOthersNothing guards against streams of the only version that nobody may continue,
// since one stream of an unknown version began at another router than theirs.
func TestUnknownVersionCostsOthersNothing(t *testing.T) {
	s := newFleetSim(t, 5, "v1")
	s.stored = map[string][]string{service: {"v1"}}
	s.begin(s.routers[0], "odd", UnknownVersion)
	s.advance(2 * TickInterval)
	s.beginMany(s.routers[1], 20, "v1")
	s.advance(time.Second)
	s.routers[1].kill()
	s.exchangeRouters()
	for _, r := range s.live() {
		for i := range 20 {
			require.Equal(t, "v1", s.lookup(r, fmt.Sprint("v1-", i)).Version, "at %s, beside an unknown stream of %s", r.self.Address, s.routers[0].self.Address)
		}
	}
}

// TestUnknownVersionIsKnownInOtherRegions guards against a stream of an unknown version that goes on at the
// only listed one, since its caller comes back in another region.
func TestUnknownVersionIsKnownInOtherRegions(t *testing.T) {
	s := newFleetSim(t, 6, "v1")
	s.stored = map[string][]string{service: {"v1"}}
	for i, r := range s.routers {
		r.self.Region = fmt.Sprint("region-", i/3)
		r.m = NewMachine(r.self, true)
		s.update(r, ListedMsg{Now: s.now, Services: s.listed})
	}
	s.exchangeRouters()
	s.begin(s.routers[0], "odd", UnknownVersion)
	s.advance(2 * TickInterval)
	s.routers[0].kill()
	for _, r := range s.routers[3:] {
		require.Equal(t, Unknown, s.lookup(r, "odd").Certainty, r.self.Address)
	}
}

// TestUnknownVersionSurvivesLostMessages guards against such a stream being taken for one of the listed
// version while the answers of some holders are lost or late.
func TestUnknownVersionSurvivesLostMessages(t *testing.T) {
	guessed := 0
	s := newFleetSim(t, 5, "v1")
	s.stored = map[string][]string{service: {"v1"}}
	for i := range 200 {
		s.begin(s.routers[0], fmt.Sprint("odd-", i), UnknownVersion)
	}
	s.advance(2 * TickInterval)
	s.routers[0].kill()
	s.lossRate = 0.1
	for i := range 200 {
		if s.lookup(s.routers[1], fmt.Sprint("odd-", i)).Certainty != Unknown {
			guessed++
		}
	}
	require.Zero(t, guessed, "of 200 streams")
}
