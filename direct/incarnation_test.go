package direct

import (
	"fmt"
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

// startsDirectory returns servers n-0, n-1 and so on, each at a start.
func startsDirectory(revision uint64, version string, starts ...int) Directory {
	d := Directory{Revision: revision}
	for i, start := range starts {
		id := fmt.Sprintf("n-%d@%d", i, start)
		d.Servers = append(d.Servers, Server{ID: id, Service: "llm", Zone: "a", Version: version, Slots: 48})
	}
	return d
}

// TestRestartedServersDoNotLapse guards against servers whose former starts stay in use for some time, as
// if their entries had been lost, though their names are listed with new ones.
func TestRestartedServersDoNotLapse(t *testing.T) {
	h := newHarness(t, 0)
	h.list(startsDirectory(2, "v1", 1, 1, 1, 1))
	resumed := h.request("red")
	resumed.Version = "v1"
	for _, c := range h.list(startsDirectory(3, "v2", 2, 2, 2, 2)) {
		if c, ok := c.(ServerStatusCmd); ok {
			require.NotEqual(t, StatusLapsed, c.Status, c.Server.ID)
		}
	}
	refused, ok := findCmd[RefuseCmd](h.arrive(resumed))
	require.True(t, ok)
	require.Equal(t, ReasonVersion, refused.Reason)
	for range 20 {
		require.Contains(t, h.sent(h.arrive(h.request("red"))), "@2")
	}
}

// TestRestartedServersAreNoMassLapse verifies that servers which have restarted don't count among those
// whose entries vanished at once.
func TestRestartedServersAreNoMassLapse(t *testing.T) {
	h := newHarness(t, 0)
	h.list(startsDirectory(2, "v1", 1, 1, 1, 1, 1, 1, 1, 1))
	cmds := h.list(startsDirectory(3, "v1", 2, 2, 2, 2, 2, 1, 1))
	gone := 0
	for _, c := range cmds {
		if c, ok := c.(ServerStatusCmd); ok && c.Status == StatusGone {
			gone++
		}
	}
	require.Equal(t, 6, gone, "five restarts, and n-7 by itself")
}

// TestMatchStart checks that only two equal starts are the same, whichever seems the later one, and that
// nothing is concluded from an entry without a start.
func TestMatchStart(t *testing.T) {
	told, untold := Server{ID: "n-0@1764900000123"}, Server{ID: "n-0"}
	require.Equal(t, SameIncarnation, told.MatchStart(1764900000123))
	require.Equal(t, OtherIncarnation, told.MatchStart(1764900000122))
	require.Equal(t, OtherIncarnation, told.MatchStart(1764900000124))
	require.Equal(t, UnknownIncarnation, untold.MatchStart(1764900000123))
	require.True(t, told.TellsStart())
	require.False(t, untold.TellsStart())
}
