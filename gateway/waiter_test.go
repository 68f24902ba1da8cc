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
	broken := 0
	attempt := func() { c.setBreakOff(1, func() { broken++ }) }
	c.deliver(1, direct.SendCmd{ID: 1})
	c.waiters[1].move() // no connection was opened
	c.deliver(1, direct.SendCmd{ID: 1})
	attempt()
	require.Zero(t, broken)

	c.clearBreakOff(1)
	c.waiters[1].move()
	attempt()
	require.Equal(t, 1, broken, "one that is just beginning is broken off")
}
