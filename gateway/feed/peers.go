package feed

import "github.com/croftvale/croftvale/gateway/traffic"

// Peers are the other routers, as a Puller needs to know them.
type Peers interface {
	// Add makes a router known.
	Add(address string)
	// Behind is sent on when another router knows something newer.
	Behind() <-chan struct{}
	// Ahead tells which routers know something newer.
	Ahead() PeersAheadByFeed
	// FirstOfHall tells whether this router is the first of its hall, among those that
	// are there.
	FirstOfHall() bool
	// PathTo returns the path to a router.
	PathTo(address string) traffic.Path
}
