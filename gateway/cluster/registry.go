package cluster

import "context"

// Member is a router of the fleet.
type Member struct {
	Name    string
	Address string // host, without a port
}

// Registry is where routers find each other.
type Registry interface {
	// Register makes a router known to others.
	Register(ctx context.Context, m Member) error
	// Members returns the routers that registered, some of which may be gone. A
	// stale list may be seconds old and costs the registry less.
	Members(ctx context.Context, stale bool) ([]Member, error)
}
