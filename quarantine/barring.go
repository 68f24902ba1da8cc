package quarantine

import (
	"cmp"
	"slices"
)

// unexplained returns the number of crashes under x that no other fingerprint explains.
func (s *Suspects) unexplained(x *suspect) int {
	n := 0
	for _, c := range x.crashes {
		if !s.explained(x, c.server) {
			n++
		}
	}
	return n
}

// shouldBar reports whether to bar a fingerprint, given its crashes and how many of them no
// other fingerprint explains. Of two fingerprints that crash servers together, the one with
// more crashes explains the other's. A fingerprint with more than CrashThreshold crashes is
// barred by a single unexplained one.
func shouldBar(crashes, unexplained int) bool {
	return unexplained >= CrashThreshold || crashes > CrashThreshold && unexplained > 0
}

// explained reports whether a fingerprint with more crashes than x was also on server when
// it crashed.
func (s *Suspects) explained(x *suspect, server Server) bool {
	return slices.ContainsFunc(s.byServer[server], func(other *suspect) bool { return len(other.crashes) > len(x.crashes) })
}

// updateBarred recomputes which fingerprints are barred, and the digest, after any change: a
// change to one fingerprint may explain the crashes under another.
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

// setBarred bars a fingerprint, or ends that, and records the change.
func (s *Suspects) setBarred(x *suspect, barred bool) {
	x.barred = barred
	s.urgent = s.urgent || barred
	s.changed = append(s.changed, Change{Fingerprint: x.fingerprint, Barred: barred, Crashes: len(x.crashes)})
}
