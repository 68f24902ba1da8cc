package quarantine

import (
	"maps"
	"slices"
	"time"
)

// SetRecorded sets the fingerprints that the store lists as barred, so that they stay barred
// even if all routers lose their state. A fingerprint that is no longer listed was released: its
// earlier crashes are cleared.
func (s *Suspects) SetRecorded(now time.Duration, listed []Fingerprint) {
	s.now = now
	previous := s.listed
	s.listed = make(map[Fingerprint]bool, len(listed))
	for _, f := range listed {
		s.listed[f] = true
		if previous[f] {
			continue
		}
		x := s.getOrAdd(f)
		x.recorded, x.recordedAt, x.multiCrash = true, now, true
		x.refused.advance(now)
	}
	for f := range previous {
		if x := s.byFingerprint[f]; x != nil && !s.listed[f] {
			s.clear(x, now)
			x.sendsLeft = ownSends
		}
	}
	s.stale = true
}

// Unrecorded returns the fingerprints that are barred and not in the store. A part that may still be
// released soon is not among them.
func (s *Suspects) Unrecorded() []Fingerprint {
	s.refresh()
	var out []Fingerprint
	for f, x := range s.byFingerprint {
		if x.barred && !s.listed[f] && !s.mayBeReleased(x, recordDelay) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// Recorded returns the fingerprints that are barred and in the store, as far as is known.
func (s *Suspects) Recorded() []Fingerprint {
	s.refresh()
	var out []Fingerprint
	for _, f := range slices.Sorted(maps.Keys(s.listed)) {
		if x := s.byFingerprint[f]; x != nil && x.barred {
			out = append(out, f)
		}
	}
	return out
}

// Outdated returns the fingerprints that are in the store and no longer barred.
func (s *Suspects) Outdated() []Fingerprint {
	s.refresh()
	var out []Fingerprint
	for _, f := range slices.Sorted(maps.Keys(s.listed)) {
		if x := s.byFingerprint[f]; x == nil || !x.barred {
			out = append(out, f)
		}
	}
	return out
}
