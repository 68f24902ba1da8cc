package gateway

import (
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestMoveEndsWithItsAttempt checks that a move for an attempt that ends before it could be
// aborted does not abort the next attempt.
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
	require.Equal(t, 1, aborted, "an attempt that is just starting is aborted")
}
