package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLapsesAreReportedInOrder lapses the entries of two services: the changes are emitted in
// the order of services and IDs, not in that of a map.
func TestLapsesAreReportedInOrder(t *testing.T) {
	h := newHarness(t, 6)
	order := func(cmds []Cmd, status Status) []string {
		var ids []string
		for _, c := range cmds {
			if c, ok := c.(ServerStatusCmd); ok && c.Status == status {
				ids = append(ids, c.Server.ID)
			}
		}
		return ids
	}
	all := []string{"p0", "p1", "p2", "p3", "p4", "p5", "e0", "e1", "e2", "e3", "e4", "e5"}
	lapsed := h.m.Update(ServersMsg{Now: h.now, Directory: Directory{Revision: 2}})
	require.Equal(t, all, order(lapsed, StatusLapsed))
	require.Equal(t, all, order(h.advance(maxLapseGrace), StatusGone))
}

// TestLapsedServersThatRefuse has three of six servers stop at once, as after a request that
// crashes servers. Their entries disappear together, so they are used a little longer, and
// their host refuses connections. A request that tried all three in a row marked the hall as
// lost ("server_ejected cause=unsent" three times, "hall_lost unreached=3") and was refused,
// though three servers of the hall were serving. Such a server must be removed and must not
// count against its hall.
func TestLapsedServersThatRefuse(t *testing.T) {
	h := newNoticeHarness(t, "p0", "p1", "p2", "p3", "p4", "p5")
	h.list("p3", "p4", "p5")
	gone := make(map[string]bool)
	for range 40 {
		r := h.plainRequest()
		cmds := h.arrive(r)
		for {
			send, ok := findCmd[SendCmd](cmds)
			require.True(t, ok, "%v", cmds)
			if send.Server.ID > "p2" {
				break
			}
			gone[send.Server.ID] = true
			cmds = append([]Cmd(nil), h.m.Update(AttemptEndMsg{Now: h.now, ID: r.ID, Outcome: Unsent, ConnRefused: true, Retry: true})...)
			_, lost := findCmd[HallReachabilityCmd](cmds)
			require.False(t, lost)
			status, _ := findCmd[ServerStatusCmd](cmds)
			require.Equal(t, StatusGone, status.Status)
		}
	}
	require.Len(t, gone, 3, "each stopped server must have been tried")
}
