package feed

import (
	"time"

	"github.com/croftvale/croftvale/direct"
)

// StateMachine is the state machine that is told of newer content.
type StateMachine interface {
	// Now is the time since the router's start.
	Now() time.Duration
	// Update tells the machine something.
	Update(msg direct.Msg)
}
