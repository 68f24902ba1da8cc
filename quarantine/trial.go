package quarantine

import (
	"slices"
	"time"
)

// trialInterval is how long each router in turn may try a part, which it does once. A crash is known
// to all routers by the end of it.
const trialInterval = time.Second

// trialRouters is the number of routers whose turn it is at the same time.
const trialRouters = 2

// maxOwnCrashes is the number of crashes under a part without any other barred part from which it is
// certainly a cause.
const maxOwnCrashes = 2

// maxFailedTrials is the number of crashes since a part was barred after which it is not tried any
// more.
const maxFailedTrials = 2

// Candidate is a router that may send a request with a barred part as a trial.
type Candidate struct {
	Rank    int // among all routers, from 0
	Routers int // at least 1
}

// MayTry reports whether a request may be sent although it has barred parts. Parts that were together
// when servers crashed are all barred, though perhaps only one of them is the cause. A request with
// some of them, but not all, tells them apart: its success releases its parts, and its crash speaks
// against them. trialRouters at a time send one such request each.
//
// The arguments are the fingerprints of all shared parts of the request.
func (s *Suspects) MayTry(now time.Duration, c Candidate, fingerprints ...Fingerprint) bool {
	s.refresh()
	for _, f := range fingerprints {
		x := s.byFingerprint[f]
		if x == nil || !x.barred {
			if !s.HasWhole(f) {
				return false // its own crash would look like that of a barred part
			}
			continue
		}
		if !s.isTurn(now, c, x) || !s.isAmbiguous(x, fingerprints) {
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

// isTurn reports whether it is this router's turn to try a part.
func (s *Suspects) isTurn(now time.Duration, c Candidate, x *suspect) bool {
	if x.triedAt.valid && now-x.triedAt.at < trialInterval {
		return false
	}
	turn := uint64(max(now-x.barredAt, 0) / trialInterval)
	position := (uint64(c.Rank) + uint64(x.fingerprint) + turn) % uint64(max(c.Routers, 1))
	return position < trialRouters
}

// isAmbiguous reports whether something else than x, that a request does not have, may be the cause of
// the crashes under x. Without known crashes, after a restart of all routers, the request is the only
// way to find out, once.
func (s *Suspects) isAmbiguous(x *suspect, fingerprints []Fingerprint) bool {
	if len(x.crashes) == 0 {
		return !x.triedAt.valid && s.hasOtherBarred(fingerprints)
	}
	if x.failedTrials() >= maxFailedTrials {
		return false
	}
	if !s.isUnproven(x) && s.crashesSince(x) > len(x.crashes) {
		return true // servers crash without it, and it used to crash none
	}
	own := 0
	for _, c := range x.crashes {
		if !s.contentExplains(c) && !s.hasOtherCause(c.server, x, fingerprints) {
			own++
		}
	}
	return own < maxOwnCrashes
}

// hasOtherBarred reports whether a part is barred that a request does not have.
func (s *Suspects) hasOtherBarred(fingerprints []Fingerprint) bool {
	for f, x := range s.byFingerprint {
		if x.barred && !slices.Contains(fingerprints, f) {
			return true
		}
	}
	return false
}

// hasOtherCause reports whether another suspect that may be the cause was present when a server
// crashed: one that a request does not have, and that is barred, or has several crashes and no known
// whole response.
func (s *Suspects) hasOtherCause(server Server, x *suspect, fingerprints []Fingerprint) bool {
	return slices.ContainsFunc(s.byServer[server], func(other *suspect) bool {
		mayBe := other.barred || !other.cleared.valid && len(other.crashes) > 1
		return mayBe && other != x && !slices.Contains(fingerprints, other.fingerprint)
	})
}
