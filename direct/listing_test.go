package direct

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeavingServers checks that leaving servers get no new requests while others are
// available, and only for a short time if none is.
func TestLeavingServers(t *testing.T) {
	h := newHarness(t, 2)
	d := newDirectory(2, 2)
	d.Servers[0].Draining = true // e0
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	for range 20 {
		r := h.request("red")
		require.Equal(t, "e1", h.sent(h.arrive(r)))
		h.end(r.ID, Done, false)
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: Directory{Revision: 3}})
	r := h.request("red")
	h.sent(h.arrive(r))
	h.end(r.ID, Done, false)
	h.advance(max(maxLastResortTime, maxLapseGrace) + TickInterval)
	r = h.request("red")
	_, sent := findCmd[SendCmd](h.arrive(r))
	require.False(t, sent)
}

// TestOlderListsAreNotTaken checks that a list older than the current one is ignored.
func TestOlderListsAreNotTaken(t *testing.T) {
	h := newHarness(t, 2)
	h.m.Update(ServersMsg{Now: h.now, Directory: Directory{Revision: 9}})
	h.m.Update(ServersMsg{Now: h.now, Directory: newDirectory(8, 2)})
	_, sent := findCmd[SendCmd](h.m.Update(TickMsg{Now: h.now}))
	require.False(t, sent)
	h.advance(maxLapseGrace)
	require.True(t, h.m.byServer["e0"].gone)
}

// TestLapsedEntries lapses the entries of most servers while the source is unavailable: the
// servers are used until they are listed again, and removed if they are not. A server that
// disappears alone, or was leaving, is removed at once.
func TestLapsedEntries(t *testing.T) {
	h := newHarness(t, 6)
	usable := func() (n int) {
		for _, s := range h.m.pools["llm"].admitted {
			if s.usable(h.now) {
				n++
			}
		}
		return n
	}
	list := func(revision uint64, missing ...string) {
		d := newDirectory(revision, 6)
		kept := d.Servers[:0]
		for _, s := range d.Servers {
			if !slices.Contains(missing, s.ID) {
				kept = append(kept, s)
			}
		}
		d.Servers = kept
		h.m.Update(ServersMsg{Now: h.now, Directory: d})
	}
	list(2, "e0")
	require.Equal(t, 5, usable(), "one server missing")
	list(3, "e0", "e1", "e2", "e3")
	require.Equal(t, 5, usable(), "many servers missing at once")
	h.advance(maxLapseGrace / 2)
	list(4, "e0", "e1", "e2")
	require.Equal(t, 5, usable(), "one server listed again")
	h.advance(maxLapseGrace)
	require.Equal(t, 3, usable(), "the other servers not listed again")
	list(5)
	require.Equal(t, 6, usable(), "all servers listed again")
	d := newDirectory(6, 6)
	for i := range d.Servers {
		d.Servers[i].Draining = d.Servers[i].ID == "e4"
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	list(7, "e3", "e4", "e5")
	require.Equal(t, 5, usable(), "one of the missing servers was leaving")
}

// TestServerThatMovesGetsOnlyItsServicesRequests guards against requests that reach another service: a
// server that is listed for another service under the same ID gets no more requests of the old one, and
// keeps its own notices.
func TestServerThatMovesGetsOnlyItsServicesRequests(t *testing.T) {
	h := newHarness(t, 1)
	running := h.request("red")
	require.Equal(t, "e0", h.sent(h.arrive(running)))
	h.m.Update(NoticeMsg{Now: h.now, Server: "p0", Notice: Notice{Backoff: time.Minute}})
	moved := newDirectory(2, 1)
	moved.Servers[0].Service, moved.Servers[1].Service = "app", "llm"
	h.list(moved)

	refused, ok := findCmd[RefuseCmd](h.arrive(h.request("red")))
	require.True(t, ok, "the only server of the service has asked for a backoff")
	require.Equal(t, ReasonBackoff, refused.Reason)
	plain := h.request("red")
	plain.Service = "app"
	require.Equal(t, "e0", h.sent(h.arrive(plain)))
	h.end(running.ID, Done, false)
	require.Equal(t, 1, h.m.byServer["e0"].running, "the attempt of the old service does not count for the new one")
}
