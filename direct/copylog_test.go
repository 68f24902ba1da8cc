package direct

import (
	"testing"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestCopiesAreAnnounced has one router send a prompt to another server than the one
// that keeps it, and another router hear of it: that one knows of both. Each copy is
// told once.
func TestCopiesAreAnnounced(t *testing.T) {
	a, b := newHarness(t, 4), newHarness(t, 4)
	shared, own := PromptPart{ID: 7, Tokens: 500}, PromptPart{ID: 8, Tokens: 1500}
	first := a.sent(a.arrive(a.request("red", shared, own)))
	require.Empty(t, a.m.TakeCopies(), "all routers try this server first")
	copied := first
	for i := 0; copied == first && i < 50; i++ {
		// What runs there makes the first server late.
		copied = a.sent(a.arrive(a.request("red", shared, own)))
	}
	require.NotEqual(t, first, copied)
	b.m.Update(PeerCopiesMsg{Now: b.now, Copies: a.m.TakeCopies()})
	p := b.m.pool("llm")
	for _, id := range []string{first, copied} {
		require.True(t, b.m.partHolders.isHolder(b.now, p.cacheTTL, shared.ID, id), id)
	}
	require.Empty(t, a.m.TakeCopies())
}

// TestCopiesOfUnknownServersAreIgnored hears of a server that is not listed.
func TestCopiesOfUnknownServersAreIgnored(t *testing.T) {
	b := newHarness(t, 2)
	b.m.Update(PeerCopiesMsg{Now: b.now, Copies: []loads.Copy{{Part: 7, Server: 12345}}})
	require.Empty(t, b.m.partHolders.holdersOf(7))
}

// TestCopiesAreBounded makes more copies than are kept to be told.
func TestCopiesAreBounded(t *testing.T) {
	var c copyLog
	s := &server{loadKey: 1}
	for i := range 3 * maxPendingCopies {
		c.add(uint64(i), s)
		c.add(uint64(i), s)
	}
	told := c.pending
	require.Len(t, told, maxPendingCopies)
	require.Equal(t, uint64(3*maxPendingCopies-1), told[len(told)-1].Part)
}
