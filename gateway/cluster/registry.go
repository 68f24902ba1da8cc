package cluster

import "context"

// Member is a router of the fleet.
type Member struct {
	Name    string
	Address string // host, without a port
}

// Registry lists the routers of the fleet, which find one another through it.
type Registry interface {
	// Register adds a router.
	Register(ctx context.Context, m Member) error
	// Members returns the registered routers, some of which may no longer exist. A stale list may
	// be seconds old and costs the registry less.
	Members(ctx context.Context, stale bool) ([]Member, error)
}
