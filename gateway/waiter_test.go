package gateway

import (
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestMoveEndsWithItsAttempt shows that a move which came while an attempt could not be
// broken off yet, and never could, does not break off the next one.
func TestMoveEndsWithItsAttempt(t *testing.T) {
	c := newCore(direct.Options{}, nil)
	c.waiters[1] = &waiter{commands: make(chan direct.Cmd, 2)}
	aborted := 0
	startAttempt := func() { c.setAbort(1, func() { aborted++ }) }
	c.deliver(1, direct.SendCmd{ID: 1})
	c.waiters[1].move() // no connection was opened
	c.deliver(1, direct.SendCmd{ID: 1})
	startAttempt()
	require.Zero(t, aborted)

	c.clearAbort(1)
	c.waiters[1].move()
	startAttempt()
	require.Equal(t, 1, aborted, "one that is just beginning is broken off")
}
