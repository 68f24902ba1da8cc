package quarantine

import "time"

// RecordCrash records that a server crashed while it executed a request with the fingerprint,
// sent by this router.
func (s *Suspects) RecordCrash(now time.Duration, f Fingerprint, server Server) {
	s.RecordCrashOf(now, Crash{Server: server}, f)
}

// RecordCrashOf records a crash under each of the fingerprints of one request.
func (s *Suspects) RecordCrashOf(now time.Duration, c Crash, fingerprints ...Fingerprint) {
	s.now = now
	changed, observed := false, crash{server: c.Server, at: now, hall: c.Hall, request: c.Request}
	s.logCrash(observed)
	for _, f := range fingerprints {
		x := s.getOrAdd(f)
		if !s.addCrash(x, observed) {
			changed = x.mergeRequest(observed) || changed
			continue
		}
		x.sendsLeft = ownSends
		s.urgent = s.urgent || s.isUrgent(x)
		changed = true
	}
	if changed {
		s.stale = true
	}
}

// logCrash adds a crash to the log of all crashes, if one is kept.
func (s *Suspects) logCrash(c crash) {
	if s.kind == Part {
		s.crashLog.add(c)
	}
}

// isUrgent reports whether other routers must learn at once of a new crash under x.
func (s *Suspects) isUrgent(x *suspect) bool {
	return x.nearlyBarred() && (s.kind == Content || s.isUnproven(x))
}

// RecordSuccess records a complete response to a request with the fingerprint: it did not cause
// any earlier crash.
func (s *Suspects) RecordSuccess(now time.Duration, f Fingerprint) {
	x := s.byFingerprint[f]
	if x == nil || (len(x.crashes) == 0 && !x.recorded) {
		return
	}
	s.now = now
	s.clear(x, now)
	s.reportClearing(x)
	s.stale = true
}

// RecordWhole records a response to a request with the fingerprints that began at the given time
// and is whole, or has gone on for so long that the request can't be the cause of a crash: none of
// them caused any crash before it began.
func (s *Suspects) RecordWhole(now, began time.Duration, fingerprints ...Fingerprint) {
	s.now = now
	changed := false
	if len(fingerprints) > 0 && !s.firstWhole.valid {
		s.firstWhole.advance(now)
	}
	for _, f := range fingerprints {
		s.history.record(f, began)
		x := s.byFingerprint[f]
		if x == nil || x.cleared.valid && began <= x.cleared.at {
			continue
		}
		crashes, known, recorded := len(x.crashes), x.cleared.valid, x.recorded
		s.clear(x, began)
		if crashes > 0 && (len(x.crashes) < crashes || !known) || recorded && !x.recorded {
			s.reportClearing(x)
			changed = true
		}
	}
	if changed {
		s.stale = true
	}
}

// HasHistory reports whether each of the fingerprints has had a whole response.
func (s *Suspects) HasHistory(fingerprints ...Fingerprint) bool {
	for _, f := range fingerprints {
		if _, ok := s.history.last(f); !ok {
			return false
		}
	}
	return true
}

// RecordSurvivor records that a request with the fingerprints, whose response began at the given
// time, has been executing for some time since.
func (s *Suspects) RecordSurvivor(now, began time.Duration, fingerprints ...Fingerprint) {
	s.now = now
	for _, f := range fingerprints {
		x := s.byFingerprint[f]
		if x == nil || len(x.crashes) == 0 || x.survivorBegan.valid && began <= x.survivorBegan.at {
			continue
		}
		s.stale = s.stale || began > x.crashes[0].at
		x.survivorBegan.advance(began)
	}
}

// HasWhole reports whether any response to a request with the fingerprint was whole, as far as is
// known.
func (s *Suspects) HasWhole(f Fingerprint) bool {
	x := s.byFingerprint[f]
	return x != nil && x.cleared.valid || s.HasHistory(f)
}

// reportClearing makes the next lists of reports tell that a fingerprint was cleared.
func (s *Suspects) reportClearing(x *suspect) {
	if x.sendsLeft == ownSends && !x.multiCrash {
		x.sendsLeft = 0 // the crash was not reported to anyone either
	} else {
		x.sendsLeft = ownSends
	}
}
