package direct

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLeavingServers get nothing new while others are there, and for a short
// while where none is.
func TestLeavingServers(t *testing.T) {
	b := newHarness(t, 2)
	d := newDirectory(2, 2)
	d.Servers[0].Draining = true // e0
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	for range 20 {
		r := b.request("red")
		require.Equal(t, "e1", b.sent(b.arrive(r)))
		b.end(r.ID, Done, false)
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: Directory{Revision: 3}})
	r := b.request("red")
	b.sent(b.arrive(r))
	b.end(r.ID, Done, false)
	b.advance(max(maxLastResortTime, maxLapseGrace) + TickInterval)
	r = b.request("red")
	_, sent := findCmd[SendCmd](b.arrive(r))
	require.False(t, sent)
}

// TestOlderListsAreNotTaken keeps to the newest list of servers.
func TestOlderListsAreNotTaken(t *testing.T) {
	b := newHarness(t, 2)
	b.m.Update(ServersMsg{Now: b.now, Directory: Directory{Revision: 9}})
	b.m.Update(ServersMsg{Now: b.now, Directory: newDirectory(8, 2)})
	_, sent := findCmd[SendCmd](b.m.Update(TickMsg{Now: b.now}))
	require.False(t, sent)
	b.advance(maxLapseGrace)
	require.True(t, b.m.byServer["e0"].gone)
}

// TestLapsedEntries has the entries of most servers lapse while the source was
// away: they are used until they are back, and taken for gone where they are not.
// One that goes alone, or was leaving, is dropped at once.
func TestLapsedEntries(t *testing.T) {
	b := newHarness(t, 6)
	usable := func() (n int) {
		for _, s := range b.m.pools["llm"].admitted {
			if s.usable(b.now) {
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
		b.m.Update(ServersMsg{Now: b.now, Directory: d})
	}
	list(2, "e0")
	require.Equal(t, 5, usable(), "one alone")
	list(3, "e0", "e1", "e2", "e3")
	require.Equal(t, 5, usable(), "many at once")
	b.advance(maxLapseGrace / 2)
	list(4, "e0", "e1", "e2")
	require.Equal(t, 5, usable(), "one is back")
	b.advance(maxLapseGrace)
	require.Equal(t, 3, usable(), "the others are not")
	list(5)
	require.Equal(t, 6, usable(), "listed again")
	d := newDirectory(6, 6)
	for i := range d.Servers {
		d.Servers[i].Draining = d.Servers[i].ID == "e4"
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	list(7, "e3", "e4", "e5")
	require.Equal(t, 5, usable(), "one was leaving")
}
