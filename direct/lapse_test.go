package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLapsesAreToldInOrder has entries of two services lapse: that is told in the order of
// services and ids, not in that of a map.
func TestLapsesAreToldInOrder(t *testing.T) {
	b := newBench(t, 6)
	order := func(cmds []Cmd, belief Belief) []string {
		var ids []string
		for _, c := range cmds {
			if c, ok := c.(BeliefCmd); ok && c.Belief == belief {
				ids = append(ids, c.Server.ID)
			}
		}
		return ids
	}
	all := []string{"p0", "p1", "p2", "p3", "p4", "p5", "e0", "e1", "e2", "e3", "e4", "e5"}
	lapsed := b.m.Update(ServersMsg{Now: b.now, Directory: Directory{Revision: 2}})
	require.Equal(t, all, order(lapsed, BeliefLapsed))
	require.Equal(t, all, order(b.pass(lapseHold), BeliefGone))
}
