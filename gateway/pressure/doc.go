// Package pressure is how a router behaves without processor time: it measures how
// late the process runs, and decides from that which part of the requests is refused
// at the door, when the balancer should send callers to other routers, and how long
// streams gather events.
//
// A Gauge takes in the lateness of each tick and is asked from anywhere; it reads no
// clock itself.
package pressure
