package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashThreshold is the number of crashes under a part without any whole response after
	// which it is barred. A part that has had whole responses needs unprovenWeight more, since most
	// requests have parts in common and some of them run on any server that crashes.
	partCrashThreshold = 3
	unprovenWeight     = 2
	partWeightLimit    = partCrashThreshold + unprovenWeight
	// minPartRequests is the number of different requests with crashes from which a part is barred.
	// The crashes of a single one are evidence against its content.
	minPartRequests = 2
	// correlatedCrashWindow is the time in which the servers of a data hall that fails end.
	correlatedCrashWindow = 100 * time.Millisecond
	// learningTime is how long after its first whole response a router can't tell parts without whole
	// responses from those whose responses it has not seen yet.
	learningTime = 2 * time.Second
	// minCauseShare is the inverse of the share of all crashes that a part must be present at to be
	// barred. Where many servers crash by themselves, each part is present at some of the crashes.
	minCauseShare = 2
	// minProvenTime is the time from the first crash under a part that has had whole responses until
	// it is barred. Within that time, most parts have further ones.
	minProvenTime = 900 * time.Millisecond
	// maxSurvivorWait is how long a part is not barred because requests with it are executing that
	// began after a crash. By then they prove that it crashes nothing, or have crashed too.
	maxSurvivorWait = time.Second
	// confirmationTime is how long after a part was barred other routers may still report whole
	// responses that release it, and recordDelay how long the store gets no record of it.
	confirmationTime = time.Second
	recordDelay      = 500 * time.Millisecond
)

// weight returns how strong the evidence against a fingerprint is.
func (s *Suspects) weight(x *suspect) int {
	if s.kind == Content || len(x.crashes) == 0 {
		return len(x.crashes)
	}
	return s.weightOf(x, func(c crash) bool { return !x.survived(c) })
}

// fullWeight returns the weight of all crashes under a part, whatever survived.
func (s *Suspects) fullWeight(x *suspect) int {
	return s.weightOf(x, func(crash) bool { return true })
}

// weightOf returns the weight of those crashes under a part that count.
func (s *Suspects) weightOf(x *suspect, counts func(crash) bool) int {
	if s.isUnproven(x) {
		n := 0
		for _, c := range x.crashes {
			if counts(c) {
				n++
			}
		}
		return n + unprovenWeight
	}
	return x.independentCrashes(counts)
}

// isUnproven reports whether a part never had a whole response, as far as is known, and some router
// had seen those of others for long enough when a server last crashed under it.
func (s *Suspects) isUnproven(x *suspect) bool {
	switch {
	case x.cleared.valid:
		return false
	case x.established:
		return true
	}
	n := len(x.crashes)
	return s.firstWhole.valid && n > 0 && x.crashes[n-1].at-s.firstWhole.at >= learningTime
}

// rank orders the suspects of a crash: the one with the highest rank explains it. Contents and parts
// of equal history rank by weight. Of two parts of equal weight, one without any known whole response
// ranks before one that has had some. A part that certainly never had any ranks before all others once
// two servers have crashed under it.
func (s *Suspects) rank(x *suspect) int {
	rank := s.weight(x) * rankOfCrash
	if s.kind == Content {
		return rank
	}
	if !x.cleared.valid {
		rank += neverWholeRank
	}
	if s.isUnproven(x) && len(x.crashes) > 1 {
		rank += unprovenRank
	}
	return rank
}

const (
	// neverWholeRank is less than one crash counts in a rank.
	neverWholeRank = 1
	rankOfCrash    = 2
	// unprovenRank is more than the rank of any other part.
	unprovenRank = (maxCrashesKept+unprovenWeight)*rankOfCrash + neverWholeRank + 1
)

// maxRanks returns the highest rank among the suspects of each server that crashed.
func (s *Suspects) maxRanks() map[Server]int {
	out := make(map[Server]int, len(s.byServer))
	for _, x := range s.byFingerprint {
		rank := s.rank(x)
		for _, c := range x.crashes {
			out[c.server] = max(out[c.server], rank)
		}
	}
	return out
}

// explained returns the number of crashes under x that another fingerprint explains: one of a higher
// rank was also on the server when it crashed.
func (s *Suspects) explained(x *suspect) int {
	rank, n := s.rank(x), 0
	for _, c := range x.crashes {
		if s.serverRanks[c.server] > rank || s.contentExplains(c) {
			n++
		}
	}
	return n
}

// contentExplains reports whether a crash under a part has a barred content as its cause: that of
// another request than the one with the part.
func (s *Suspects) contentExplains(c crash) bool {
	if s.contents == nil || c.request == severalRequests {
		return false
	}
	return slices.ContainsFunc(s.contents.byServer[c.server], func(x *suspect) bool {
		return x.barred && RequestHash(x.fingerprint) != c.request
	})
}

// shouldBar reports whether to bar a fingerprint. Of two fingerprints that crash servers together, the
// one of higher rank explains the other's crashes.
func (s *Suspects) shouldBar(x *suspect) bool {
	if s.kind == Content {
		return s.exceedsLimit(x, s.weight(x), 0)
	}
	return s.isWidespread(x) && !s.mayStillClear(x) && (s.exceedsLimit(x, s.weight(x), 0) || s.isSuspectedLong(x))
}

// wouldBar reports whether one more crash that nothing explains would bar a fingerprint.
func (s *Suspects) wouldBar(x *suspect) bool {
	return s.exceedsLimit(x, s.weight(x), 1) || s.kind == Part && s.exceedsLimit(x, s.fullWeight(x), 1)
}

// exceedsLimit reports whether the evidence against a fingerprint, of the given weight and with a
// number of further unexplained crashes, suffices to bar it. A fingerprint beyond the limit is barred
// by a single unexplained crash.
func (s *Suspects) exceedsLimit(x *suspect, weight, further int) bool {
	limit := CrashThreshold
	if s.kind == Part {
		limit = partWeightLimit
	}
	explained := s.explained(x)
	weight += further
	unexplained := len(x.crashes) - explained + further
	return weight-explained >= limit || weight > limit && unexplained > 0
}

// isWidespread reports whether servers crash under several requests with a part, and not as often
// without it.
func (s *Suspects) isWidespread(x *suspect) bool {
	return x.requests() >= minPartRequests && len(x.crashes)*minCauseShare >= s.crashesSince(x)
}

// mayStillClear reports whether a part that has had whole responses may have further ones soon.
func (s *Suspects) mayStillClear(x *suspect) bool {
	if x.barred || s.isUnproven(x) || s.now-x.crashes[0].at >= minProvenTime {
		return false
	}
	s.postponed = true
	return true
}

// isSuspectedLong reports whether a part would be barred but for requests that survived for some time,
// and that these would have cleared it by now.
func (s *Suspects) isSuspectedLong(x *suspect) bool {
	if !s.exceedsLimit(x, s.fullWeight(x), 0) {
		x.suspectedSince = optionalTime{}
		return false
	}
	if !x.suspectedSince.valid {
		x.suspectedSince.advance(s.now)
	}
	waited := x.barred || s.now-x.suspectedSince.at >= maxSurvivorWait
	s.postponed = s.postponed || !waited
	return waited
}

// refresh recomputes which fingerprints are barred, and the digest, after any change: a change to
// one fingerprint may explain the crashes under another.
func (s *Suspects) refresh() {
	if !s.stale {
		return
	}
	s.stale = false
	s.digest, s.barredCount, s.postponed = Digest{}, 0, false
	s.serverRanks = s.maxRanks()
	for _, x := range s.byFingerprint {
		if barred := x.recorded || s.shouldBar(x); barred != x.barred {
			s.setBarred(x, barred)
		}
		if x.barred {
			s.barredCount++
		}
		s.digest.add(s.kind, x)
	}
	slices.SortStableFunc(s.changed, func(a, b Change) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

// setBarred bars a fingerprint, or ends that, and records the change.
func (s *Suspects) setBarred(x *suspect, barred bool) {
	x.barred, x.barredAt = barred, s.now
	s.urgent = s.urgent || barred
	s.changed = append(s.changed, Change{Kind: s.kind, Fingerprint: x.fingerprint, Barred: barred, Crashes: len(x.crashes)})
}
