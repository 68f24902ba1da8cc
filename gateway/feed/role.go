package feed

import "time"

// Role is this router's place among those that could follow the source.
type Role interface {
	// Follows tells whether this router is one of the few that follow the source.
	Follows() bool
	// IsPrimary tells whether it is the first of them; the others stand by for it.
	IsPrimary() bool
	// HasLivePeers tells whether another router has been heard of.
	HasLivePeers() bool
	// StartupWait is how long this router waits, as it starts, for others to bring what
	// it would read from the source; 0: it reads at once.
	StartupWait() time.Duration
}
