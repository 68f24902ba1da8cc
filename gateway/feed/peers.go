package feed

import "github.com/croftvale/croftvale/gateway/traffic"

// Peers provides what a Puller needs to know about the other routers.
type Peers interface {
	// Add adds the address of a router.
	Add(address string)
	// Behind returns a channel that receives a value when another router has newer content.
	Behind() <-chan struct{}
	// Ahead returns the routers that have newer content.
	Ahead() PeersAheadByFeed
	// FirstOfHall reports whether this router is the first of the live routers of its
	// hall.
	FirstOfHall() bool
	// PathTo returns the network path to a router.
	PathTo(address string) traffic.Path
}
