package loads

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestDeltaRoundTrip checks that patch(old, diff(old, now)) is now.
func TestDeltaRoundTrip(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) []Load {
		loads := sum(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Load {
			return Load{Server: rapid.Uint32Range(0, 9).Draw(t, "server"), Running: rapid.Int32Range(1, 3).Draw(t, "running")}
		}), 0, 9).Draw(t, "loads"))
		return append([]Load{}, loads...)
	})
	rapid.Check(t, func(t *rapid.T) {
		old, now := draw.Draw(t, "old"), draw.Draw(t, "now")
		require.Equal(t, now, patch(old, diff(old, now)))
	})
}

// TestDeltasUnderFaults uses so many servers that digests are sent as deltas, while lists are lost,
// delayed and repeated, loads change and routers restart. After the faults end, each router must
// receive exactly the total loads of the others.
func TestDeltasUnderFaults(t *testing.T) {
	for seed := range uint64(8) {
		s := newLossyNetwork(seed, "north/a", "north/a", "north/a", "south/c")
		for i, r := range s.routers {
			s.own[r.Address] = manyLoads(i)
		}
		s.run(10, nil)
		s.faultRate = 0.2
		deltas := 0
		s.onSend = func(_ string, f packet) {
			if f.msg.Base != 0 && f.msg.Kind == Digest {
				deltas++
			}
		}
		for range 40 {
			s.changeRandomRouter()
			s.run(1, nil)
		}
		require.Positive(t, deltas)
		s.endAllFaults()
		s.requireConverged(t)
	}
}

// changeRandomRouter changes some loads of a random router, which restarts first in one of ten
// calls.
func (s *lossyNetwork) changeRandomRouter() {
	i := s.random.IntN(len(s.routers))
	if s.random.IntN(10) == 0 {
		s.restart(s.routers[i])
	}
	own := manyLoads(i)
	own = append(own[:s.random.IntN(len(own))], Load{Server: uint32(1e6 + s.rounds), Running: 3})
	s.own[s.routers[i].Address] = own
}

func manyLoads(router int) []Load {
	var out []Load
	for i := range deltaThreshold + 100 {
		out = append(out, Load{Server: uint32(1000 + i), Running: int32(1 + (i+router)%7)})
	}
	return out
}
