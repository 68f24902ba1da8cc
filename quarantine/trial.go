package quarantine

import (
	"slices"
	"time"
)

// trialInterval is how long each router in turn may try a part, which it does once. A crash is known
// to all routers by the end of it.
const trialInterval = 2 * time.Second

// trialRouters is the number of routers whose turn it is at the same time.
const trialRouters = 2

// Candidate is a router that may send a request with a barred part as a trial.
type Candidate struct {
	Rank    int // among all routers, from 0
	Routers int // at least 1
}

// MayTry reports whether a request may be sent although it has barred parts. Parts that were always
// together when servers crashed are all barred, though perhaps only one of them is the cause. A
// request with some of them, but not all, tells them apart: its success releases its parts, and its
// crash releases the others. trialRouters at a time send one such request each.
//
// The arguments are the fingerprints of all shared parts of the request.
func (s *Suspects) MayTry(now time.Duration, c Candidate, fingerprints ...Fingerprint) bool {
	s.refresh()
	for _, f := range fingerprints {
		x := s.byFingerprint[f]
		if x == nil || !x.barred {
			continue
		}
		if !s.mayTry(now, c, x) || !s.hasAlternative(x, fingerprints) {
			return false
		}
	}
	return true
}

// RecordTrial records that a request with barred parts is sent as a trial.
func (s *Suspects) RecordTrial(now time.Duration, fingerprints ...Fingerprint) {
	for _, f := range fingerprints {
		if x := s.byFingerprint[f]; x != nil && x.barred {
			x.triedAt.advance(now)
		}
	}
}

// mayTry reports whether it is this router's turn to try a part.
func (s *Suspects) mayTry(now time.Duration, c Candidate, x *suspect) bool {
	if x.triedAt.valid && now-x.triedAt.at < trialInterval {
		return false
	}
	turn := uint64(max(now-x.barredAt, 0) / trialInterval)
	position := (uint64(c.Rank) + uint64(x.fingerprint) + turn) % uint64(max(c.Routers, 1))
	return position < trialRouters
}

// hasAlternative reports whether a barred part that a request does not have may be the cause of all
// crashes under x.
func (s *Suspects) hasAlternative(x *suspect, fingerprints []Fingerprint) bool {
	if len(x.crashes) == 0 {
		return false
	}
	for _, other := range s.byServer[x.crashes[0].server] {
		if other != x && other.barred && other.covers(x) && !slices.Contains(fingerprints, other.fingerprint) {
			return true
		}
	}
	return false
}
