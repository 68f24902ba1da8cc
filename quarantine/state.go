package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// State describes one fingerprint, for dumps.
type State struct {
	Kind     string
	Content  string // the fingerprint; of a part its ID
	Barred   bool
	Recorded bool // listed in the store
	Crashes  int  // crashes of servers that executed it, since it was last cleared
	// Known is the time since its last update: a crash, a clearing or a refused request.
	Known time.Duration
}

// States returns up to limit fingerprints: barred ones first, then those with the most
// crashes.
func (s *Suspects) States(now time.Duration, limit int) []State {
	s.refresh()
	out := make([]State, 0, len(s.byFingerprint))
	for f, x := range s.byFingerprint {
		out = append(out, State{Kind: s.kind.String(), Content: f.Text(s.kind), Barred: x.barred, Recorded: s.listed[f], Crashes: len(x.crashes), Known: now - x.lastUpdate()})
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
