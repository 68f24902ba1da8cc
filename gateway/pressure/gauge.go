package pressure

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// slowLag is the lag above which the router no longer judges servers by its own time
	// measurements.
	slowLag = 30 * time.Millisecond
	// A router with a lag below keepsUpLag keeps up. One whose lag stays at overloadLag or more
	// becomes overloaded.
	keepsUpLag  = 40 * time.Millisecond
	overloadLag = 120 * time.Millisecond
	// lagDecay is the fraction of the recorded lag that remains after one tick.
	lagDecay = 0.9
	// A router counts as overloaded after about 16 more late ticks than on-time ticks, and stays so
	// for as many ticks as it has been late.
	lateScoreStep    = 1.0
	keepsUpScoreStep = 0.5
	overloadScore    = 16.0
	maxScore         = 60.0
	// maxAcceptLag is the tick delay from which a router accepts no new connections. It is slightly
	// more than the lag that shedding aims at.
	maxAcceptLag = 15 * time.Millisecond
)

// Gauge measures how late this process runs, by the delay of its ticks. A router that is short of
// CPU time must neither accept more work than it can do nor judge other processes to be slow. The
// zero value is the gauge of a process that keeps up.
type Gauge struct {
	lag atomic.Int64
	// tickDelay is how late the last tick came.
	tickDelay atomic.Int64
	// shedder computes the fraction of the requests to refuse on arrival; shedFraction holds its
	// bits.
	shedder      shedder
	shedFraction atomic.Uint64
	// score rises while the router lags and falls while it keeps up. From overloadScore on the
	// router counts as overloaded, until the score is 0.
	score      float64
	overloaded atomic.Bool
	// yielder decides when the router reports that it is not ready, so that the load balancer sends
	// callers elsewhere.
	yielder yielder
	yields  atomic.Bool
	hall    atomic.Pointer[Hall]
	// DisabledMechanisms lists the mechanisms that are switched off.
	DisabledMechanisms direct.DisabledMechanisms
}

// Observe records how late a tick came.
func (g *Gauge) Observe(now, tickDelay time.Duration) {
	decayed := time.Duration(lagDecay * float64(g.lag.Load()))
	lag := max(tickDelay, decayed, 0)
	g.lag.Store(int64(lag))
	g.tickDelay.Store(int64(tickDelay))
	fraction := 0.0
	if g.DisabledMechanisms.Enabled(direct.LoadShedding) {
		fraction = g.shedder.update(tickDelay)
	}
	g.shedFraction.Store(math.Float64bits(fraction))
	var hall Hall
	if h := g.hall.Load(); h != nil {
		hall = *h
	}
	g.yields.Store(g.DisabledMechanisms.Enabled(direct.UnreadyUnderLoad) && g.yielder.update(now, fraction, hall))
	switch {
	case lag >= overloadLag:
		g.score = min(g.score+lateScoreStep*max(1, float64(tickDelay)/float64(direct.TickInterval)), maxScore)
	case lag < keepsUpLag:
		g.score = max(g.score-keepsUpScoreStep, 0)
	}
	switch {
	case g.score >= overloadScore:
		g.overloaded.Store(true)
	case g.score == 0:
		g.overloaded.Store(false)
	}
}

// Lag returns how late this process currently runs.
func (g *Gauge) Lag() time.Duration { return time.Duration(g.lag.Load()) }

// WantsLessTraffic reports whether callers should go to other routers.
func (g *Gauge) WantsLessTraffic() bool { return g.overloaded.Load() || g.yields.Load() }

// TooLateToAccept reports whether the process runs too late to accept new connections.
func (g *Gauge) TooLateToAccept() bool { return time.Duration(g.tickDelay.Load()) >= maxAcceptLag }

// TooLateToRead reports whether the process runs so late that the requests it reads would be
// refused anyway.
func (g *Gauge) TooLateToRead() bool { return g.Lag() >= shedAllLag }

// Yields reports whether the router presents itself as not ready, so that the load balancer sends
// callers to the other routers of the hall.
func (g *Gauge) Yields() bool { return g.yields.Load() }

// SetHall sets the state of the other routers of the hall.
func (g *Gauge) SetHall(h Hall) { g.hall.Store(&h) }

// Slow reports whether the process runs so late that its time measurements of other processes are
// unreliable.
func (g *Gauge) Slow() bool { return time.Duration(g.lag.Load()) > slowLag }

// Sheds reports whether a request should be refused on arrival, by its ID and the weight of its
// team; see selectedForShedding.
func (g *Gauge) Sheds(id string, weight float64) bool {
	return selectedForShedding(id, g.ShedFraction(), weight)
}

// ShedFraction returns the fraction of the new requests that is refused on arrival.
func (g *Gauge) ShedFraction() float64 { return math.Float64frombits(g.shedFraction.Load()) }

// Shedding reports whether the router currently refuses some requests on arrival.
func (g *Gauge) Shedding() bool { return g.shedFraction.Load() != 0 }
