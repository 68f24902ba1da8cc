package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known of one content, for dumps.
type State struct {
	Content  string
	Barred   bool
	Recorded bool // in the store
	Crashes  int  // of servers that ran it, as far as it was not cleared since
	// Known is how long ago something was last learned of it, or it was last refused.
	Known time.Duration
}

// States returns what is known of the contents under which most servers crashed, most at
// a time; those that are barred come first.
func (s *Suspects) States(now time.Duration, limit int) []State {
	out := make([]State, 0, len(s.byFingerprint))
	for c, x := range s.byFingerprint {
		out = append(out, State{Content: c.String(), Barred: x.barred, Recorded: s.listed[c], Crashes: len(x.crashes), Known: now - x.lastUpdate()})
	}
	slices.SortFunc(out, func(a, b State) int {
		if a.Barred != b.Barred {
			if a.Barred {
				return -1
			}
			return 1
		}
		return cmp.Or(-cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Known, b.Known), cmp.Compare(a.Content, b.Content))
	})
	return out[:min(len(out), limit)]
}
