package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutEarlyGate verifies that a router that was partitioned, and learns that an order is
// completed before it learns of the new servers, keeps sending to the old ones until then. A
// rejected version gets no requests from then on.
func TestRolloutEarlyGate(t *testing.T) {
	newLoadedMachine := func(inUse ...string) *Machine {
		m := NewMachine(Bounds{Share: 0.1})
		m.Update(VersionsMsg{Services: map[string][]string{"s": {oldVersion}}})
		m.Update(OrdersMsg{})
		m.Update(RecordsMsg{Records: []Record{{Service: "s", Revision: 1, InUse: inUse}}})
		return m
	}
	order := Order{Service: "s", Target: newVersion, Within: time.Minute, Made: "1", Revision: 2, State: Completed, StateTarget: newVersion}
	m := newLoadedMachine(oldVersion)
	require.Empty(t, gatesOf(m.Update(OrdersMsg{Orders: []Order{order}})))
	got := gatesOf(m.Update(VersionsMsg{Services: map[string][]string{"s": {newVersion, oldVersion}}}))
	require.Equal(t, []Gate{{Service: "s", InUse: []string{newVersion}}}, got)

	m = newLoadedMachine(newVersion, oldVersion)
	order.Target, order.State, order.StateTarget = oldVersion, RolledBack, oldVersion
	got = gatesOf(m.Update(OrdersMsg{Orders: []Order{order}}))
	require.Equal(t, []Gate{{Service: "s", InUse: []string{newVersion}}}, got)
}

func gatesOf(cmds []Cmd) []Gate {
	var out []Gate
	for _, c := range cmds {
		if g, ok := c.(GateCmd); ok {
			out = append(out, g.Gate)
		}
	}
	return out
}
