package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLapsesAreToldInOrder has entries of two services lapse: that is told in the order of
// services and ids, not in that of a map.
func TestLapsesAreReportedInOrder(t *testing.T) {
	b := newHarness(t, 6)
	order := func(cmds []Cmd, belief Status) []string {
		var ids []string
		for _, c := range cmds {
			if c, ok := c.(ServerStatusCmd); ok && c.Status == belief {
				ids = append(ids, c.Server.ID)
			}
		}
		return ids
	}
	all := []string{"p0", "p1", "p2", "p3", "p4", "p5", "e0", "e1", "e2", "e3", "e4", "e5"}
	lapsed := b.m.Update(ServersMsg{Now: b.now, Directory: Directory{Revision: 2}})
	require.Equal(t, all, order(lapsed, StatusLapsed))
	require.Equal(t, all, order(b.advance(maxLapseGrace), StatusGone))
}

// TestLapsedServersThatRefuse has three of six servers end at once, as a request that crashes
// servers has them do: their entries go together, so that they are used a little longer, and
// their host refuses connections. A request that came to all three in a row found its hall lost
// ("server_ejected cause=unsent" three times, "hall_lost unreached=3"), and was refused while
// three servers of the hall served. Such a server is gone, and says nothing of its hall.
func TestLapsedServersThatRefuse(t *testing.T) {
	b := newNoticeBench(t, "p0", "p1", "p2", "p3", "p4", "p5")
	b.list("p3", "p4", "p5")
	gone := make(map[string]bool)
	for range 40 {
		r := b.plainRequest()
		cmds := b.arrive(r)
		for {
			send, ok := findCmd[SendCmd](cmds)
			require.True(t, ok, "%v", cmds)
			if send.Server.ID > "p2" {
				break
			}
			gone[send.Server.ID] = true
			cmds = append([]Cmd(nil), b.m.Update(AttemptEndMsg{Now: b.now, ID: r.ID, Outcome: Unsent, ConnRefused: true, Retry: true})...)
			_, lost := findCmd[HallReachabilityCmd](cmds)
			require.False(t, lost)
			belief, _ := findCmd[ServerStatusCmd](cmds)
			require.Equal(t, StatusGone, belief.Status)
		}
	}
	require.Len(t, gone, 3, "each was tried")
}
