package feed

import "time"

// Role reports this router's role among the routers that can follow the source.
type Role interface {
	// Follows reports whether this router is one of the few that follow the source.
	Follows() bool
	// IsPrimary reports whether it is the primary follower; the others are standbys.
	IsPrimary() bool
	// HasLivePeers reports whether another router is live.
	HasLivePeers() bool
	// StartupWait returns how long this router waits at startup for content from other
	// routers before it reads the source; 0 means that it reads at once.
	StartupWait() time.Duration
}
