package feed

import "time"

// Role is this router's place among those that could follow the source.
type Role interface {
	// Follows tells whether this router is one of the few that follow the source.
	Follows() bool
	// Patience is how long this router waits, as it starts, for others to bring what
	// it would read from the source; 0: it reads at once.
	Patience() time.Duration
}
