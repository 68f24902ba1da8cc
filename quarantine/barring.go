package quarantine

import (
	"cmp"
	"slices"
)

// unexplained counts the crashes under a content that no other content explains.
func (s *Suspects) unexplained(x *suspect) int {
	n := 0
	for _, c := range x.crashes {
		if !s.explained(x, c.server) {
			n++
		}
	}
	return n
}

// harmful tells whether a content is to be barred that has seen so many crashes, of which no other
// content explains some. Of two that crash servers together the one that has crashed more explains
// the other's; once that has seen as many crashes as bar a content, one by itself is enough.
func shouldBar(crashes, unexplained int) bool {
	return unexplained >= CrashThreshold || crashes > CrashThreshold && unexplained > 0
}

// explained tells whether another content was there when a server crashed that has seen
// more crashes than this one.
func (s *Suspects) explained(x *suspect, server Server) bool {
	return slices.ContainsFunc(s.byServer[server], func(other *suspect) bool { return len(other.crashes) > len(x.crashes) })
}

// judge decides anew what is barred, after something has changed: what one content has seen
// may explain the crashes under another.
func (s *Suspects) updateBarred() {
	s.digest = Digest{}
	for _, x := range s.byFingerprint {
		barred := x.recorded || shouldBar(len(x.crashes), s.unexplained(x))
		if barred != x.barred {
			s.setBarred(x, barred)
		}
		s.digest.add(x)
	}
	slices.SortStableFunc(s.changed, func(a, b Change) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

func (s *Suspects) setBarred(x *suspect, barred bool) {
	x.barred = barred
	s.urgent = s.urgent || barred
	s.changed = append(s.changed, Change{Fingerprint: x.fingerprint, Barred: barred, Crashes: len(x.crashes)})
}
