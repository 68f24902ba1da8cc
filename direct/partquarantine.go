package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

// survivorAge is how long a request must run after its first event until it counts as evidence that
// its parts may crash nothing.
const survivorAge = 250 * time.Millisecond

// isBarred reports whether a request must be refused because servers crash when they run it, by its
// content or by a part of its prompt.
func (m *Machine) isBarred(now time.Duration, r *requestState) bool {
	if m.suspects.Barred(now, r.Fingerprint) {
		return true
	}
	if !m.hasBarredPart(now, &r.Request) {
		return false
	}
	return !m.isTrial(now, r)
}

// isTrial reports whether a request with barred parts is sent nevertheless, to find out which parts
// are sound. It is sent once.
func (m *Machine) isTrial(now time.Duration, r *requestState) bool {
	if r.attempt > 0 {
		return false
	}
	if !r.trial && m.mayTry(now, &r.Request) {
		r.trial = true
		m.partSuspects.RecordTrial(now, r.allPartFingerprints()...)
	}
	return r.trial
}

// mayTry reports whether a request with barred parts may be sent as a trial.
func (m *Machine) mayTry(now time.Duration, r *Request) bool {
	return m.partSuspects.MayTry(now, m.candidate(), r.allPartFingerprints()...)
}

// hasBarredPart reports whether a request has a barred part, and records that it arrived.
func (m *Machine) hasBarredPart(now time.Duration, r *Request) bool {
	if !m.partSuspects.HasBarred() {
		return false
	}
	found := false
	for _, f := range r.allPartFingerprints() {
		found = m.partSuspects.Barred(now, f) || found
	}
	return found
}

// partRetryAfter returns when a request that was refused for its parts may be sent again.
func (m *Machine) partRetryAfter(now time.Duration, r *Request) time.Duration {
	after := time.Duration(0)
	for _, f := range r.allPartFingerprints() {
		if m.partSuspects.IsBarred(f) {
			after = max(after, m.partSuspects.RetryAfter(now, f))
		}
	}
	return after
}

// allPartFingerprints returns the fingerprints of all parts that other requests may share, and the
// one that stands for prompts with many parts if this is one.
func (r *Request) allPartFingerprints() []quarantine.Fingerprint {
	parts := r.sharedParts()
	out := make([]quarantine.Fingerprint, 0, len(parts)+1)
	for _, part := range parts {
		out = append(out, quarantine.PartFingerprint(part.ID))
	}
	if quarantine.HasManyParts(len(parts)) {
		out = append(out, quarantine.ManyPartsFingerprint(r.Team))
	}
	return out
}

// candidate returns this router's place among the routers that may send trials.
func (m *Machine) candidate() quarantine.Candidate {
	return quarantine.Candidate{Rank: m.pacing.rank, Routers: max(m.pacing.routers, 1)}
}

// nearlyBarredPart reports whether one more crash would bar a part of a request.
func (m *Machine) nearlyBarredPart(r *Request) bool {
	if !m.partSuspects.HasCrashes() {
		return false
	}
	for _, part := range r.sharedParts() {
		if m.partSuspects.OneCrashFromBarred(quarantine.PartFingerprint(part.ID)) {
			return true
		}
	}
	return false
}

// clearSuspect records that a request crashed nothing.
func (m *Machine) clearSuspect(now time.Duration, suspect CrashSuspect) {
	m.suspects.RecordSuccess(now, suspect.Fingerprint)
	m.clearParts(now, suspect)
}

// clearParts records that the parts of a request crashed nothing before its response began.
func (m *Machine) clearParts(now time.Duration, suspect CrashSuspect) {
	m.partSuspects.RecordWhole(now, suspect.began, suspect.partFingerprints()...)
}

// checkSurvivors records what the running requests show about parts under which servers crashed.
func (m *Machine) checkSurvivors(now time.Duration) {
	if !m.partSuspects.HasCrashes() {
		return
	}
	for _, r := range m.requests {
		if r.currentServer != nil && r.firstEventAt > 0 && len(r.Parts) > 1 {
			m.checkSurvivor(now, r)
		}
	}
	m.partSuspects.Recheck(now)
}

// checkSurvivor records at most once that an attempt has survived for survivorAge, and once that it
// can't be the cause of a crash any more.
func (m *Machine) checkSurvivor(now time.Duration, r *requestState) {
	switch {
	case !r.cleared && r.clearedOfCrash(now):
		r.cleared = true
		m.clearParts(now, r.crashSuspect())
	case !r.survived && now-r.firstEventAt >= survivorAge:
		r.survived = true
		suspect := r.crashSuspect()
		m.partSuspects.RecordSurvivor(now, suspect.began, suspect.partFingerprints()...)
	}
}

// suspectIfUnframed checks whether a server crashed when a response ended with its connection. The
// end of such a response looks the same if it is whole and if its server has crashed.
func (m *Machine) suspectIfUnframed(now time.Duration, r *requestState, s *server) {
	check, suspect := &s.crashState, r.crashSuspect()
	if r.clearedOfCrash(now) {
		m.clearSuspect(now, suspect)
		return
	}
	known := m.partSuspects.HasHistory(suspect.partFingerprints()...)
	if known && !m.partSuspects.HasCrashes() && m.suspects.Crashes(r.Fingerprint) == 0 {
		check.addAbandoned(now, suspect)
		return
	}
	suspect.unframed = true
	check.awaitingProbe = append(check.awaitingProbe, suspect)
	if len(check.awaitingProbe) == 1 {
		check.reachedAt = now
		m.pendingReprobes = append(m.pendingReprobes, s)
	}
}

// hasUnprovenBarredPart reports whether a request has a barred part that never had a whole response.
func (m *Machine) hasUnprovenBarredPart(r *Request) bool {
	return slices.ContainsFunc(r.allPartFingerprints(), func(f quarantine.Fingerprint) bool {
		return m.partSuspects.IsBarred(f) && !m.partSuspects.HasWhole(f)
	})
}

// abortBarred aborts the attempts of requests with barred parts that no server has begun to run. If a
// part has had whole responses, these attempts may still show that it crashes nothing.
func (m *Machine) abortBarred() {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r.currentServer == nil || r.firstEventAt != 0 || r.aborted || r.trial || !m.hasUnprovenBarredPart(&r.Request) {
			continue
		}
		r.aborted = true
		m.emit(AbortCmd{ID: r.ID})
	}
}
