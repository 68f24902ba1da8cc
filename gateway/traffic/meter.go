package traffic

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts the bytes of one kind, without what TCP and IP add.
type Meter struct {
	bytes    [numPaths]atomic.Int64
	counters [numPaths]tally.Counter
}

func newMeter(k Kind, scope tally.Scope) *Meter {
	m := &Meter{}
	for p := range numPaths {
		m.counters[p] = scope.Tagged(map[string]string{"kind": string(k), "path": p.String()}).Counter("traffic_bytes")
	}
	return m
}

// Add counts some bytes.
func (m *Meter) Add(p Path, n int) {
	m.bytes[p].Add(int64(n))
	m.counters[p].Inc(int64(n))
}

func (m *Meter) sum() Sum {
	return Sum{
		WithinHall: m.bytes[WithinHall].Load(), BetweenHalls: m.bytes[BetweenHalls].Load(),
		BetweenRegions: m.bytes[BetweenRegions].Load(),
	}
}

// Sum is the bytes of one kind since the start.
type Sum struct {
	WithinHall     int64
	BetweenHalls   int64 // of one region
	BetweenRegions int64
}
