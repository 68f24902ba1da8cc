package feed

import (
	"time"

	"github.com/croftvale/croftvale/direct"
)

// StateMachine receives newer content and decides on requests.
type StateMachine interface {
	// Now returns the time since the router's start.
	Now() time.Duration
	// Update applies a message to the state machine.
	Update(msg direct.Msg)
}
