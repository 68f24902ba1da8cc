package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashThreshold is the number of unexplained crashes under a fingerprint after which it is
	// barred; they may be of one server that restarts. One server may crash for another reason;
	// two in a row under one request are rare but happen when hosts fail in series.
	CrashThreshold = 3
	// Retention is how long a fingerprint is kept after the last crash under it, or after its
	// last request while it was barred. It is far longer than the retry interval of requests that
	// come every few seconds or minutes, so that these stay barred.
	Retention = 10 * time.Minute
	// refusedReportInterval is the time between two reports that a barred fingerprint is still requested.
	refusedReportInterval = Retention / 4
	// maxCrashesKept limits the crashes kept per fingerprint; the oldest are dropped.
	maxCrashesKept = 16
	// maxSuspects limits the fingerprints kept, which take about 150 bytes each. It covers a
	// hundred crashes of servers that each run forty requests that have just begun.
	maxSuspects = 4096
	// evictionBatch is how many suspects are removed at a time when the limit is reached. Finding
	// them takes a millisecond, too long to be done for each new suspect.
	evictionBatch = maxSuspects / 8
)

// Server identifies one incarnation of a backend server.
type Server uint32

// Suspects holds one router's view of the fingerprints under which servers have crashed. The
// zero value is empty. Times are on the router's monotonic clock.
type Suspects struct {
	byFingerprint map[Fingerprint]*suspect
	byServer      map[Server][]*suspect // suspects with a crash of the server
	changed       []Change
	listed        map[Fingerprint]bool // by the store, see SetRecorded
	digest        Digest
	urgent        bool          // see TakeUrgent
	lastResend    time.Duration // when the barred suspects were last sent again
}

// Change reports that a fingerprint has become barred, or no longer is.
type Change struct {
	Fingerprint Fingerprint
	Barred      bool
	Crashes     int // crashes of servers that executed it
}

// RecordCrash records that a server crashed while it executed a request with the fingerprint,
// sent by this router.
func (s *Suspects) RecordCrash(now time.Duration, f Fingerprint, server Server) {
	if x := s.getOrAdd(now, f); s.addCrash(x, crash{server, now}) {
		x.sendsLeft = ownSends
		s.urgent = s.urgent || x.nearlyBarred()
		s.updateBarred()
	}
}

// TakeUrgent reports whether anything happened since the last call that other routers must
// receive at once: a crash after which one more may bar a fingerprint, or a fingerprint that was
// barred. Until they receive it they may send the same request to other servers.
func (s *Suspects) TakeUrgent() bool {
	out := s.urgent
	s.urgent = false
	return out
}

// RecordSuccess records a complete response to a request with the fingerprint: it did not cause
// any earlier crash.
func (s *Suspects) RecordSuccess(now time.Duration, f Fingerprint) {
	x := s.byFingerprint[f]
	if x == nil || (len(x.crashes) == 0 && !x.recorded) {
		return
	}
	s.clear(x, now)
	if x.sendsLeft == ownSends && !x.multiCrash {
		x.sendsLeft = 0 // the crash was not reported to anyone either
	} else {
		x.sendsLeft = ownSends
	}
	s.updateBarred()
}

// Barred reports whether requests with the fingerprint must be refused, and records that one
// arrived.
func (s *Suspects) Barred(now time.Duration, f Fingerprint) bool {
	x := s.byFingerprint[f]
	if x == nil || !x.barred {
		return false
	}
	x.refused.advance(now)
	if !x.refusedReported.valid || now-x.refusedReported.at >= refusedReportInterval {
		// Routers that receive no such requests would otherwise let it expire.
		x.sendsLeft = max(x.sendsLeft, 1)
	}
	return true
}

// OneCrashFromBarred reports whether one more crash would bar the fingerprint.
func (s *Suspects) OneCrashFromBarred(f Fingerprint) bool {
	x := s.byFingerprint[f]
	return x != nil && shouldBar(len(x.crashes)+1, s.unexplained(x)+1)
}

// Crashes returns the number of crashes under the fingerprint, including those that another
// one explains.
func (s *Suspects) Crashes(f Fingerprint) int {
	if x := s.byFingerprint[f]; x != nil {
		return len(x.crashes)
	}
	return 0
}

// TakeChanges returns the fingerprints that became barred, or no longer are, since the last call.
func (s *Suspects) TakeChanges() []Change {
	out := s.changed
	s.changed = nil
	return out
}

// Expire removes the suspects whose last update is older than Retention.
func (s *Suspects) Expire(now time.Duration) {
	for _, x := range s.byFingerprint {
		if now-x.lastUpdate() > Retention {
			s.remove(x)
		}
	}
	s.updateBarred()
}

// getOrAdd returns the suspect of a fingerprint, and adds it if it is new.
func (s *Suspects) getOrAdd(now time.Duration, f Fingerprint) *suspect {
	if x := s.byFingerprint[f]; x != nil {
		return x
	}
	if s.byFingerprint == nil {
		s.byFingerprint, s.byServer = make(map[Fingerprint]*suspect), make(map[Server][]*suspect)
	}
	if len(s.byFingerprint) >= maxSuspects {
		s.evict()
	}
	x := &suspect{fingerprint: f}
	s.byFingerprint[f] = x
	return x
}

// evict removes a batch of the least important suspects: not barred, with the fewest crashes,
// least recently updated.
func (s *Suspects) evict() {
	all := slices.SortedFunc(maps.Values(s.byFingerprint), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.lastUpdate(), b.lastUpdate()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	all = slices.DeleteFunc(all, func(x *suspect) bool { return x.barred })
	for _, x := range all[:min(len(all), evictionBatch)] {
		s.remove(x)
	}
	s.updateBarred()
}

func (s *Suspects) remove(x *suspect) {
	s.dropCrashes(x)
	x.recorded = false
	if x.barred {
		s.setBarred(x, false)
	}
	delete(s.byFingerprint, x.fingerprint)
}

// addCrash adds a crash, and reports whether it is new and counts.
func (s *Suspects) addCrash(x *suspect, c crash) bool {
	if x.hasCrash(c) || x.clearedSince(c.at) {
		return false
	}
	if !x.crashedServer(c.server) {
		s.byServer[c.server] = append(s.byServer[c.server], x)
	}
	x.crashes = append(x.crashes, c)
	x.multiCrash = x.multiCrash || len(x.crashes) > 1
	slices.SortFunc(x.crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server)) })
	if len(x.crashes) > maxCrashesKept {
		first := x.crashes[0].server
		x.crashes = x.crashes[1:]
		if !x.crashedServer(first) {
			s.unlink(x, first)
		}
	}
	return true
}

// clear discards all crashes up to the given time, and the store's record.
func (s *Suspects) clear(x *suspect, at time.Duration) {
	x.cleared.advance(at)
	x.recorded = false
	crashes := x.crashes
	s.dropCrashes(x)
	for _, c := range crashes {
		s.addCrash(x, c)
	}
}

func (s *Suspects) dropCrashes(x *suspect) {
	for _, c := range x.crashes {
		s.unlink(x, c.server)
	}
	x.crashes = nil
}

// unlink removes a suspect from those of a server in byServer.
func (s *Suspects) unlink(x *suspect, server Server) {
	rest := slices.DeleteFunc(s.byServer[server], func(other *suspect) bool { return other == x })
	if len(rest) == 0 {
		delete(s.byServer, server)
		return
	}
	s.byServer[server] = rest
}
