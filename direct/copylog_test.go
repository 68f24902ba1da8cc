package direct

import (
	"testing"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestCopiesAreAnnounced has one router send a prompt to a server other than its holder and
// another router receive the announcement. That router must know both holders, and each copy
// must be announced once.
func TestCopiesAreAnnounced(t *testing.T) {
	a, h := newHarness(t, 4), newHarness(t, 4)
	shared, own := PromptPart{ID: 7, Tokens: 500}, PromptPart{ID: 8, Tokens: 1500}
	first := a.sent(a.arrive(a.request("red", shared, own)))
	require.Empty(t, a.m.TakeCopies(), "all routers choose this server first, so it is not announced")
	copied := first
	for i := 0; copied == first && i < 50; i++ {
		// Running requests make the first server late.
		copied = a.sent(a.arrive(a.request("red", shared, own)))
	}
	require.NotEqual(t, first, copied)
	h.m.Update(PeerCopiesMsg{Now: h.now, Copies: a.m.TakeCopies()})
	p := h.m.pool("llm")
	for _, id := range []string{first, copied} {
		require.True(t, h.m.partHolders.isHolder(h.now, p.cacheTTL, shared.ID, id), id)
	}
	require.Empty(t, a.m.TakeCopies())
}

// TestCopiesOfUnknownServersAreIgnored receives a copy at a server that is not listed.
func TestCopiesOfUnknownServersAreIgnored(t *testing.T) {
	h := newHarness(t, 2)
	h.m.Update(PeerCopiesMsg{Now: h.now, Copies: []loads.Copy{{Part: 7, Server: 12345}}})
	require.Empty(t, h.m.partHolders.holdersOf(7))
}

// TestCopiesAreBounded adds more copies than the log holds.
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
