package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainTimeBoundsLastResort has all servers of a service leave, by notices, by their
// entries or by lapsed entries, on a platform that stops them after half a second. If the drain
// time is ignored, servers are used for 0.8 and 1.2 s. That suits servers that serve for two
// more seconds, but here requests go to stopped servers.
func TestDrainTimeBoundsLastResort(t *testing.T) {
	const drain = 500 * time.Millisecond
	for name, leave := range map[string]func(*noticeHarness){
		"answers": func(h *noticeHarness) {
			h.notice("p0", Notice{Leaving: true})
			h.notice("p1", Notice{Leaving: true})
		},
		"entries": func(h *noticeHarness) { h.listAs(drainingServer("p0"), drainingServer("p1")) },
		"lapse":   func(h *noticeHarness) { h.list() },
	} {
		h := newNoticeHarness(t, "p0", "p1")
		h.m.Update(DrainMsg{Drain: drain})
		leave(h)
		require.Zero(t, h.distribute(2)[""], name)
		h.advance(drain)
		require.Equal(t, map[string]int{"": 2}, h.distribute(2), name)
	}
}
