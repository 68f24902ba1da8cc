package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// reach reports to which start of its server the connection of a request leads.
func (h *harness) reach(id RequestID, i Incarnation, newConn bool) {
	h.m.Update(IncarnationMsg{Now: h.now, ID: id, Incarnation: i, NewConn: newConn})
}

// TestRestartedServerContinuesNoStream guards against a stream that goes on at a server which has restarted,
// perhaps as another version, since its entry was written. New requests may still go there.
func TestRestartedServerContinuesNoStream(t *testing.T) {
	h := newVersionHarness(t, 2, "v1")
	resumed := h.request("red")
	resumed.Version = "v1"
	first := h.sent(h.arrive(resumed))
	h.reach(resumed.ID, OtherIncarnation, true)
	require.True(t, h.m.ShouldWithhold(h.now, resumed.ID))
	c, ok := findCmd[SendCmd](h.end(resumed.ID, Withheld, true))
	require.True(t, ok)
	require.NotEqual(t, first, c.Server.ID)
	h.reach(resumed.ID, OtherIncarnation, true)
	refused, ok := findCmd[RefuseCmd](h.end(resumed.ID, Withheld, true))
	require.True(t, ok)
	require.Equal(t, ReasonVersion, refused.Reason)

	fresh := h.request("red")
	h.sent(h.arrive(fresh))
	h.reach(fresh.ID, OtherIncarnation, true)
	require.False(t, h.m.ShouldWithhold(h.now, fresh.ID))
}

// TestServerThatLostItsConnectionsContinuesStreams guards against streams that are refused since the
// connections of their version's servers broke, though the servers run on.
func TestServerThatLostItsConnectionsContinuesStreams(t *testing.T) {
	h := newVersionHarness(t, 2, "v1")
	r := h.request("red")
	require.Equal(t, "v1", h.begin(r))
	c, ok := findCmd[SendCmd](h.end(r.ID, Broken, true))
	require.True(t, ok)
	h.reach(r.ID, SameIncarnation, true)
	require.False(t, h.m.ShouldWithhold(h.now, r.ID))
	require.Equal(t, "v1", c.Server.Version)
}

// TestOldConnectionDoesNotTellOfARestart verifies that a connection of an earlier start, which still serves
// what it had, keeps a stream from being sent there and is no evidence about the server's present process.
func TestOldConnectionDoesNotTellOfARestart(t *testing.T) {
	h := newVersionHarness(t, 1, "v1")
	r := h.request("red")
	r.Version = "v1"
	h.sent(h.arrive(r))
	h.reach(r.ID, OtherIncarnation, false)
	require.True(t, h.m.ShouldWithhold(h.now, r.ID))
	h.m.Update(CancelMsg{Now: h.now, ID: r.ID})
	next := h.request("red")
	next.Version = "v1"
	h.sent(h.arrive(next))
	h.reach(next.ID, OtherIncarnation, true)
	h.reach(next.ID, SameIncarnation, true)
	require.False(t, h.m.ShouldWithhold(h.now, next.ID))
}
