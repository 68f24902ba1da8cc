package pressure

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// slowLag is how late the router may do what it planned before it stops
	// judging servers by its own clock.
	slowLag = 30 * time.Millisecond
	// keepsUpLag is below what a router keeps up, lagFull from where it is
	// overloaded if that lasts.
	keepsUpLag  = 40 * time.Millisecond
	overloadLag = 120 * time.Millisecond
	// lagDecay is what remains of the greatest lag after one more tick.
	lagDecay = 0.9
	// A router that was late for the time of some 16 ticks more than it kept up is
	// overloaded, and stays so for as many ticks as it has been late.
	lateScoreStep    = 1.0
	keepsUpScoreStep = 0.5
	overloadScore    = 16.0
	maxScore         = 60.0
	// maxAcceptLag is how late a router may run while it takes in new connections: a
	// little more than the lateness that shedding aims at.
	maxAcceptLag = 15 * time.Millisecond
)

// Gauge measures how late this process runs, by a ticker. A router without
// processor time must neither take more work than it can do nor hold other
// processes for the slow ones. The zero value is a process that keeps up.
type Gauge struct {
	lag atomic.Int64
	// tickDelay is how late the last tick came.
	tickDelay atomic.Int64
	// shedder works out the part of the requests that is refused at the door; part
	// holds its bits.
	shedder      shedder
	shedFraction atomic.Uint64
	// score rises while the router is late and falls while it keeps up; from
	// scoreFull on it counts as overloaded, until the score is used up.
	score      float64
	overloaded atomic.Bool
	// yielder decides when the router says that it is not ready, so that the balancer sends callers elsewhere.
	yielder yielder
	yields  atomic.Bool
	hall    atomic.Pointer[Hall]
	// Without are the mechanisms that are switched off.
	Without direct.Without
}

// Observe takes in how late a tick came.
func (p *Gauge) Observe(now, late time.Duration) {
	decayed := time.Duration(lagDecay * float64(p.lag.Load()))
	lag := max(late, decayed, 0)
	p.lag.Store(int64(lag))
	p.tickDelay.Store(int64(late))
	fraction := 0.0
	if p.Without.Uses(direct.Shedding) {
		fraction = p.shedder.update(late)
	}
	p.shedFraction.Store(math.Float64bits(fraction))
	var hall Hall
	if known := p.hall.Load(); known != nil {
		hall = *known
	}
	p.yields.Store(p.Without.Uses(direct.Yielding) && p.yielder.update(now, fraction, hall))
	switch {
	case lag >= overloadLag:
		p.score = min(p.score+lateScoreStep*max(1, float64(late)/float64(direct.TickEvery)), maxScore)
	case lag < keepsUpLag:
		p.score = max(p.score-keepsUpScoreStep, 0)
	}
	switch {
	case p.score >= overloadScore:
		p.overloaded.Store(true)
	case p.score == 0:
		p.overloaded.Store(false)
	}
}

// Lag is how late this process runs at the moment.
func (p *Gauge) Lag() time.Duration { return time.Duration(p.lag.Load()) }

// WantsLessTraffic tells whether callers should go to other routers.
func (p *Gauge) WantsLessTraffic() bool { return p.overloaded.Load() || p.yields.Load() }

// TooLateToAccept tells whether the process runs so late that it should not take in new
// connections.
func (p *Gauge) TooLateToAccept() bool { return time.Duration(p.tickDelay.Load()) >= maxAcceptLag }

// TooLateToRead tells whether the process runs so late that what it reads is read in vain.
func (p *Gauge) TooLateToRead() bool { return p.Lag() >= shedAllLag }

// Yields tells whether the balancer should send callers to the others of the hall.
func (p *Gauge) Yields() bool { return p.yields.Load() }

// SetHall takes in what is known of the other routers of the hall.
func (p *Gauge) SetHall(h Hall) { p.hall.Store(&h) }

// Slow tells whether what this process measures of others says more of itself.
func (p *Gauge) Slow() bool { return time.Duration(p.lag.Load()) > slowLag }

// Sheds tells whether a request should be refused at the door, by its id and
// its team's weight; see chosen.
func (p *Gauge) Sheds(id string, weight float64) bool {
	return selectedForShedding(id, p.ShedFraction(), weight)
}

// ShedFraction is the part of the new requests that is refused at the door.
func (p *Gauge) ShedFraction() float64 { return math.Float64frombits(p.shedFraction.Load()) }

// Shedding tells whether the router refuses some requests at the door.
func (p *Gauge) Shedding() bool { return p.shedFraction.Load() != 0 }
