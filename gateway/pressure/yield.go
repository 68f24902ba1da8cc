package pressure

import "time"

const (
	// A router that sheds yieldShedFraction or more of its new requests for yieldAfter asks the
	// load balancer to send its callers elsewhere.
	yieldShedFraction = 0.2
	yieldAfter        = 500 * time.Millisecond
	// minYieldTime is how long a router yields the first time. If it yields again within
	// yieldBackoffWindow of the end, the time doubles, up to maxYieldTime.
	minYieldTime       = 12 * time.Second
	yieldBackoffWindow = 10 * time.Second
	maxYieldTime       = 48 * time.Second
)

// Hall counts the other routers of a router's data hall by their state.
type Hall struct {
	Routers  int // alive
	Yielding int // alive routers that yield
	Unloaded int // alive routers that neither yield nor shed requests
}

// yielder decides when a router that is short of CPU time reports that it is not ready, so that the
// load balancer sends its callers to the other routers of its hall. It keeps at least half of the
// hall ready: if fewer are ready, the load balancer uses all routers. The zero value is ready.
type yielder struct {
	sheddingSince time.Duration // 0: not shedding enough
	yieldUntil    time.Duration // end of the current or last yield
	yieldTime     time.Duration // length of the current or last yield
}

// update records the fraction of the new requests that is shed and reports whether the router
// yields.
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

// canSpareOne reports whether one more router of the hall may yield.
func (h Hall) canSpareOne() bool {
	return h.Unloaded > 0 && 2*(h.Yielding+1) <= h.Routers+1
}
