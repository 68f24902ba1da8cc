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
	// maxSuspects limits the fingerprints kept, which take about 500 bytes each. It covers a
	// hundred crashes of servers that each run forty requests that have just begun.
	maxSuspects = 4096
	// evictionBatch is how many suspects are removed at a time when the limit is reached. Finding
	// them takes a millisecond, too long to be done for each new suspect.
	evictionBatch = maxSuspects / 8
)

// Server identifies one incarnation of a backend server.
type Server uint32

// Crash describes the crash of a server, as evidence against a fingerprint that it was executing.
type Crash struct {
	Server Server
	// Hall is a hash of the server's data hall, and Request the RequestHash of the request's content.
	// They tell whether several crashes are independent evidence.
	Hall, Request uint16
}

// Suspects holds one router's view of the fingerprints of one kind under which servers have
// crashed. The zero value is empty and holds contents. Times are on the router's monotonic clock.
type Suspects struct {
	kind Kind
	partState
	stale         bool          // refresh is needed
	now           time.Duration // of the last update
	barredCount   int
	byFingerprint map[Fingerprint]*suspect
	byServer      map[Server][]*suspect // suspects with a crash of the server
	changed       []Change
	listed        map[Fingerprint]bool // by the store, see SetRecorded
	serverRanks   map[Server]int       // the highest rank among the suspects of each server
	digest        Digest
	urgent        bool          // see TakeUrgent
	lastResend    time.Duration // when the barred suspects were last sent again
}

// partState is what only the state of parts needs.
type partState struct {
	contents   *Suspects    // which may explain crashes; nil: none does
	history    history      // of whole responses
	firstWhole optionalTime // first whole response of any part
	crashLog   crashLog
	postponed  bool // a part is not barred yet only because it may be cleared soon
}

// NewPartSuspects returns an empty state of prompt parts. Contents may be nil; otherwise those that
// it bars explain crashes under parts.
func NewPartSuspects(contents *Suspects) Suspects {
	return Suspects{kind: Part, partState: partState{contents: contents}}
}

// ContentsChanged tells the state of parts that other contents than before are barred.
func (s *Suspects) ContentsChanged() { s.stale = true }

// Change reports that a fingerprint has become barred, or no longer is.
type Change struct {
	Kind        Kind
	Fingerprint Fingerprint
	Barred      bool
	Crashes     int // crashes of servers that executed it
}

// TakeUrgent reports whether anything happened since the last call that other routers must
// receive at once: a crash after which one more may bar a fingerprint, or a fingerprint that was
// barred. Until they receive it they may send the same request to other servers.
func (s *Suspects) TakeUrgent() bool {
	s.refresh()
	out := s.urgent
	s.urgent = false
	return out
}

// HasCrashes reports whether there are crashes that no whole response has cleared.
func (s *Suspects) HasCrashes() bool { return len(s.byServer) > 0 }

// HasBarred reports whether any fingerprint is barred.
func (s *Suspects) HasBarred() bool {
	s.refresh()
	return s.barredCount > 0
}

// Recheck bars the parts that were not barred because of requests that were executing, unless
// these have shown meanwhile that the parts crash nothing.
func (s *Suspects) Recheck(now time.Duration) {
	s.now = now
	s.stale = s.stale || s.postponed
}

// IsBarred reports whether requests with the fingerprint must be refused.
func (s *Suspects) IsBarred(f Fingerprint) bool {
	s.refresh()
	x := s.byFingerprint[f]
	return x != nil && x.barred
}

// Barred reports whether requests with the fingerprint must be refused, and records that one
// arrived.
func (s *Suspects) Barred(now time.Duration, f Fingerprint) bool {
	if !s.IsBarred(f) {
		return false
	}
	x := s.byFingerprint[f]
	x.refused.advance(now)
	if !x.refusedReported.valid || now-x.refusedReported.at >= refusedReportInterval {
		// Routers that receive no such requests would otherwise let it expire.
		x.sendsLeft = max(x.sendsLeft, 1)
	}
	return true
}

// OneCrashFromBarred reports whether one more crash would bar the fingerprint.
func (s *Suspects) OneCrashFromBarred(f Fingerprint) bool {
	s.refresh()
	x := s.byFingerprint[f]
	return x != nil && len(x.crashes) > 0 && s.wouldBar(x)
}

// RetryAfter returns when a caller may send a request with a barred fingerprint again. A part that
// was barred just now may be released soon.
func (s *Suspects) RetryAfter(now time.Duration, f Fingerprint) time.Duration {
	s.now = max(s.now, now)
	if x := s.byFingerprint[f]; x != nil && s.mayBeReleased(x, confirmationTime) {
		return confirmationTime
	}
	return Retention
}

// mayBeReleased reports whether a part was barred within the given time, so that other routers may
// still report whole responses.
func (s *Suspects) mayBeReleased(x *suspect, within time.Duration) bool {
	return s.kind == Part && !x.recorded && s.now-x.barredAt < within
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
	s.refresh()
	out := s.changed
	s.changed = nil
	return out
}

// Expire removes the suspects whose last update is older than Retention.
func (s *Suspects) Expire(now time.Duration) {
	s.now = now
	s.crashLog.expire(now - Retention)
	for _, x := range s.byFingerprint {
		if now-x.lastUpdate() > Retention {
			s.remove(x)
		}
	}
	s.stale = true
}

// getOrAdd returns the suspect of a fingerprint, and adds it if it is new.
func (s *Suspects) getOrAdd(f Fingerprint) *suspect {
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
	if at, ok := s.history.last(f); ok {
		x.cleared.advance(at)
	}
	s.byFingerprint[f] = x
	return x
}

// evict removes a batch of the least important suspects: not barred, with the fewest crashes,
// least recently updated.
func (s *Suspects) evict() {
	s.refresh()
	all := slices.SortedFunc(maps.Values(s.byFingerprint), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.lastUpdate(), b.lastUpdate()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	all = slices.DeleteFunc(all, func(x *suspect) bool { return x.barred })
	for _, x := range all[:min(len(all), evictionBatch)] {
		s.remove(x)
	}
	s.stale = true
}

func (s *Suspects) remove(x *suspect) {
	s.dropCrashes(x)
	x.recorded = false
	if x.barred {
		s.setBarred(x, false)
	}
	delete(s.byFingerprint, x.fingerprint)
}
