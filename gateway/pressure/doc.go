// Package pressure controls how a router behaves when it is short of CPU time. It measures how late
// the process runs, and decides from that which fraction of the requests is refused on arrival,
// when the load balancer should send callers to other routers, and for how long streams batch
// events.
//
// A Gauge receives the delay of each tick and reads no clock. Observe must be called from one
// goroutine at a time; the other methods may be called from any.
package pressure
