package pressure

import "time"

const (
	// A router that sheds yieldShedFraction of its new requests or more for yieldAfter
	// asks the balancer to send its callers elsewhere.
	yieldShedFraction = 0.2
	yieldAfter        = 500 * time.Millisecond
	// minYieldTime is how long it does so at first. Where it happens again within
	// yieldAgain of its end, it lasts twice as long, up to yieldLongest.
	minYieldTime       = 12 * time.Second
	yieldBackoffWindow = 10 * time.Second
	maxYieldTime       = 48 * time.Second
)

// Hall is what a router knows of the others of its hall.
type Hall struct {
	Routers  int // that are there
	Yielding int // of these
	Unloaded int // of these, neither yield nor pass requests on
}

// yielder decides when a router without processor time is not ready, so that the
// balancer sends its callers to the others of its hall. It leaves at least half
// of the hall ready, since the balancer uses all of them where fewer are. The
// zero value is ready.
type yielder struct {
	sheddingSince time.Duration // 0: it is not
	yieldUntil    time.Duration // of the time that it yields
	yieldTime     time.Duration // of the last such time
}

// update takes in the part of the new requests that is shed, and tells
// whether the router yields.
func (y *yielder) update(now time.Duration, fraction float64, hall Hall) bool {
	if now < y.yieldUntil {
		return true
	}
	if fraction < yieldShedFraction {
		y.sheddingSince = 0
		return false
	}
	if y.sheddingSince == 0 {
		y.sheddingSince = now
	}
	if now-y.sheddingSince < yieldAfter || !hall.canSpareOne() {
		return false
	}
	y.begin(now)
	return true
}

func (y *yielder) begin(now time.Duration) {
	if y.yieldTime == 0 || now-y.yieldUntil > yieldBackoffWindow {
		y.yieldTime = minYieldTime / 2
	}
	y.yieldTime = min(2*y.yieldTime, maxYieldTime)
	y.yieldUntil = now + y.yieldTime
	y.sheddingSince = 0
}

// canSpareOne tells whether the hall can do with one ready router less.
func (h Hall) canSpareOne() bool {
	return h.Unloaded > 0 && 2*(h.Yielding+1) <= h.Routers+1
}
