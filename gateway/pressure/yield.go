package pressure

import "time"

const (
	// A router that sheds yieldFrom of its new requests or more for yieldAfter
	// asks the balancer to send its callers elsewhere.
	yieldFrom  = 0.2
	yieldAfter = 500 * time.Millisecond
	// yieldFirst is how long it does so at first. Where it happens again within
	// yieldAgain of its end, it lasts twice as long, up to yieldLongest.
	yieldFirst   = 12 * time.Second
	yieldAgain   = 10 * time.Second
	yieldLongest = 48 * time.Second
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
	passingSince time.Duration // 0: it is not
	until        time.Duration // of the time that it yields
	lasts        time.Duration // of the last such time
}

// note takes in the part of the new requests that is shed, and tells
// whether the router yields.
func (y *yielder) note(now time.Duration, part float64, hall Hall) bool {
	if now < y.until {
		return true
	}
	if part < yieldFrom {
		y.passingSince = 0
		return false
	}
	if y.passingSince == 0 {
		y.passingSince = now
	}
	if now-y.passingSince < yieldAfter || !hall.spares() {
		return false
	}
	y.begin(now)
	return true
}

func (y *yielder) begin(now time.Duration) {
	if y.lasts == 0 || now-y.until > yieldAgain {
		y.lasts = yieldFirst / 2
	}
	y.lasts = min(2*y.lasts, yieldLongest)
	y.until = now + y.lasts
	y.passingSince = 0
}

// spares tells whether the hall can do with one ready router less.
func (h Hall) spares() bool {
	return h.Unloaded > 0 && 2*(h.Yielding+1) <= h.Routers+1
}
