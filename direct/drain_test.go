package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainTimeBoundsLastResort has all servers of a service leave, by their answers or by their
// entries, and their entries lapse, on a platform that ends them half a second after. Settings named
// that time and nothing read it: servers were used for 0.8 and 1.2 s in any case, which holds
// where they serve on for two seconds, and came too late for one that is gone after half a second.
func TestDrainTimeBoundsLastResort(t *testing.T) {
	const drain = 500 * time.Millisecond
	for name, leave := range map[string]func(*noticeBench){
		"answers": func(b *noticeBench) {
			b.notice("p0", Notice{Leaving: true})
			b.notice("p1", Notice{Leaving: true})
		},
		"entries": func(b *noticeBench) { b.listAs(drainingServer("p0"), drainingServer("p1")) },
		"lapse":   func(b *noticeBench) { b.list() },
	} {
		b := newNoticeBench(t, "p0", "p1")
		b.m.Update(DrainMsg{Drain: drain})
		leave(b)
		require.Zero(t, b.distribute(2)[""], name)
		b.advance(drain)
		require.Equal(t, map[string]int{"": 2}, b.distribute(2), name)
	}
}
