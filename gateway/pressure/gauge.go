package pressure

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// lagSlow is how late the router may do what it planned before it stops
	// judging servers by its own clock.
	lagSlow = 30 * time.Millisecond
	// lagKeeps is below what a router keeps up, lagFull from where it is
	// overloaded if that lasts.
	lagKeeps = 40 * time.Millisecond
	lagFull  = 120 * time.Millisecond
	// lagKept is what remains of the greatest lag after one more tick.
	lagKept = 0.9
	// A router that was late for the time of some 16 ticks more than it kept up is
	// overloaded, and stays so for as many ticks as it has been late.
	scoreLate = 1.0
	scoreKept = 0.5
	scoreFull = 16.0
	scoreMost = 60.0
	// intakeLate is how late a router may run while it takes in new connections: a
	// little more than the lateness that shedding aims at.
	intakeLate = 15 * time.Millisecond
)

// Gauge measures how late this process runs, by a ticker. A router without
// processor time must neither take more work than it can do nor hold other
// processes for the slow ones. The zero value is a process that keeps up.
type Gauge struct {
	lag atomic.Int64
	// now is how late the last tick came.
	now atomic.Int64
	// shed works out the part of the requests that is refused at the door; part
	// holds its bits.
	shed shedder
	part atomic.Uint64
	// score rises while the router is late and falls while it keeps up; from
	// scoreFull on it counts as overloaded, until the score is used up.
	score      float64
	overloaded atomic.Bool
	// yield decides when the router says that it is not ready, so that the balancer sends callers elsewhere.
	yield  yielder
	yields atomic.Bool
	hall   atomic.Pointer[Hall]
	// Without are the mechanisms that are switched off.
	Without direct.DisabledMechanisms
}

// Observe takes in how late a tick came.
func (p *Gauge) Observe(now, late time.Duration) {
	kept := time.Duration(lagKept * float64(p.lag.Load()))
	lag := max(late, kept, 0)
	p.lag.Store(int64(lag))
	p.now.Store(int64(late))
	part := 0.0
	if p.Without.Enabled(direct.LoadShedding) {
		part = p.shed.note(late)
	}
	p.part.Store(math.Float64bits(part))
	var hall Hall
	if known := p.hall.Load(); known != nil {
		hall = *known
	}
	p.yields.Store(p.Without.Enabled(direct.UnreadyUnderLoad) && p.yield.note(now, part, hall))
	switch {
	case lag >= lagFull:
		p.score = min(p.score+scoreLate*max(1, float64(late)/float64(direct.TickInterval)), scoreMost)
	case lag < lagKeeps:
		p.score = max(p.score-scoreKept, 0)
	}
	switch {
	case p.score >= scoreFull:
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
func (p *Gauge) TooLateToAccept() bool { return time.Duration(p.now.Load()) >= intakeLate }

// TooLateToRead tells whether the process runs so late that what it reads is read in vain.
func (p *Gauge) TooLateToRead() bool { return p.Lag() >= shedAll }

// Yields tells whether the balancer should send callers to the others of the hall.
func (p *Gauge) Yields() bool { return p.yields.Load() }

// SetHall takes in what is known of the other routers of the hall.
func (p *Gauge) SetHall(h Hall) { p.hall.Store(&h) }

// Slow tells whether what this process measures of others says more of itself.
func (p *Gauge) Slow() bool { return time.Duration(p.lag.Load()) > lagSlow }

// Sheds tells whether a request should be refused at the door, by its id and
// its team's weight; see chosen.
func (p *Gauge) Sheds(id string, weight float64) bool {
	return chosen(id, p.ShedFraction(), weight)
}

// ShedFraction is the part of the new requests that is refused at the door.
func (p *Gauge) ShedFraction() float64 { return math.Float64frombits(p.part.Load()) }

// Shedding tells whether the router refuses some requests at the door.
func (p *Gauge) Shedding() bool { return p.part.Load() != 0 }
