package traffic

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts the bytes of one kind, without the overhead of TCP and IP.
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

// Add adds n bytes on a path.
func (m *Meter) Add(p Path, n int) {
	m.bytes[p].Add(int64(n))
	m.counters[p].Inc(int64(n))
}

// sum returns the bytes on each path since the start.
func (m *Meter) sum() Sum {
	return Sum{
		WithinHall: m.bytes[WithinHall].Load(), BetweenHalls: m.bytes[BetweenHalls].Load(),
		BetweenRegions: m.bytes[BetweenRegions].Load(),
	}
}

// Sum holds the bytes of one kind since the start, by path.
type Sum struct {
	WithinHall     int64
	BetweenHalls   int64 // of one region
	BetweenRegions int64
}
