package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRelistedStartContinuesStreams guards against servers that get no stream of their version any more, since
// the source came back from an older copy for a moment, in which their names had their former starts.
func TestRelistedStartContinuesStreams(t *testing.T) {
	h := newHarness(t, 0)
	h.list(startsDirectory(2, "v1", 1, 1))
	h.list(startsDirectory(3, "v2", 2, 2))
	h.list(startsDirectory(4, "v1", 1, 1)) // the copy
	h.advance(100 * time.Millisecond)
	h.list(startsDirectory(5, "v2", 2, 2)) // written again by the servers
	resumed := h.request("red")
	resumed.Version = "v2"
	require.Contains(t, h.sent(h.arrive(resumed)), "@2")
}

// TestSameStartOnPooledConnectionEndsRestarted guards against a server that goes on getting no stream of its
// version though it tells on each connection that it is the start of its entry, since these are no new ones.
func TestSameStartOnPooledConnectionEndsRestarted(t *testing.T) {
	h := newVersionHarness(t, 1, "v1")
	r := h.request("red")
	h.sent(h.arrive(r))
	h.reach(r.ID, OtherIncarnation, true) // the former process still accepts
	h.m.Update(AttemptEndMsg{Now: h.now, ID: r.ID, Outcome: Done})
	next := h.request("red")
	h.sent(h.arrive(next))
	h.reach(next.ID, SameIncarnation, false) // on a connection that a request of another kind has opened since
	h.m.Update(AttemptEndMsg{Now: h.now, ID: next.ID, Outcome: Done})
	resumed := h.request("red")
	resumed.Version = "v1"
	h.sent(h.arrive(resumed))
}
