package quarantine

import (
	"maps"
	"slices"
	"time"
)

// SetRecorded takes in which contents the store lists as barred, so that routers which all lost what
// they knew still bar them. A content that is listed no longer was released: what is known of it
// counts no more.
func (s *Suspects) SetRecorded(now time.Duration, listed []Fingerprint) {
	previous := s.listed
	s.listed = make(map[Fingerprint]bool, len(listed))
	for _, c := range listed {
		s.listed[c] = true
		if previous[c] {
			continue
		}
		x := s.getOrAdd(now, c)
		x.recorded, x.multiCrash = true, true
		x.refused.advance(now)
	}
	for c := range previous {
		if x := s.byFingerprint[c]; x != nil && !s.listed[c] {
			s.clear(x, now)
			x.sendsLeft = ownSends
		}
	}
	s.updateBarred()
}

// Unrecorded returns the contents that are barred and not in the store.
func (s *Suspects) Unrecorded() []Fingerprint {
	var out []Fingerprint
	for c, x := range s.byFingerprint {
		if x.barred && !s.listed[c] {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// Outdated returns the contents that are in the store and not barred any more.
func (s *Suspects) Outdated() []Fingerprint {
	var out []Fingerprint
	for _, c := range slices.Sorted(maps.Keys(s.listed)) {
		if x := s.byFingerprint[c]; x == nil || !x.barred {
			out = append(out, c)
		}
	}
	return out
}
