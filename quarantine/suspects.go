package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashThreshold is how many servers may crash under a content: one may crash by itself,
	// two in a row under one request are rare but do happen when hosts fail in series.
	CrashThreshold = 3
	// Retention is how long a content is remembered after the last crash under it, or after it was last
	// asked for while it was barred. It is far longer than the time between two tries of one that
	// is asked for every few seconds or minutes, so that each stays barred.
	Retention = 10 * time.Minute
	// askToldEvery is the time between two lists that tell that a barred content is asked for.
	refusedReportInterval = Retention / 4
	// crashesKept bounds the crashes that are kept of one content; the oldest are dropped.
	maxCrashesKept = 16
	// suspectsMost bounds the contents that are kept, which take some 150 bytes each: a hundred
	// crashes of servers that each run forty requests at their beginning.
	maxSuspects = 4096
	// forgottenAtOnce is how many are forgotten when there are as many: finding them takes a
	// millisecond, which must not be the price of each new one.
	evictionBatch = maxSuspects / 8
)

// Server names one incarnation of a backend server.
type Server uint32

// Suspects are the contents under which servers have crashed, as one router knows them. The
// zero value knows none. Times are of the router's monotonic clock.
type Suspects struct {
	byFingerprint map[Fingerprint]*suspect
	byServer      map[Server][]*suspect // that were there when it crashed
	changed       []Change
	listed        map[Fingerprint]bool // by the store, see Record
	digest        Digest
	urgent        bool          // see Urgent
	lastResend    time.Duration // when all that are barred were last told again
}

// Change says that a content has become barred, or is no longer.
type Change struct {
	Fingerprint Fingerprint
	Barred      bool
	Crashes     int // of servers that ran it
}

// RecordCrash takes in that a server crashed while it ran a content, through this router.
func (s *Suspects) RecordCrash(now time.Duration, c Fingerprint, server Server) {
	if x := s.getOrAdd(now, c); s.addCrash(x, crash{server, now}) {
		x.sendsLeft = ownSends
		s.urgent = s.urgent || x.nearlyBarred()
		s.updateBarred()
	}
}

// TakeUrgent tells whether anything was learned since the last call that other routers must be told at
// once: a crash after which one more may bar a content, or that one has become barred. Until they
// hear of it they send copies of the request on to other servers.
func (s *Suspects) TakeUrgent() bool {
	out := s.urgent
	s.urgent = false
	return out
}

// RecordSuccess takes in that a server has answered a content in full: no crash before it was
// the content's doing.
func (s *Suspects) RecordSuccess(now time.Duration, c Fingerprint) {
	x := s.byFingerprint[c]
	if x == nil || (len(x.crashes) == 0 && !x.recorded) {
		return
	}
	s.clear(x, now)
	if x.sendsLeft == ownSends && !x.multiCrash {
		x.sendsLeft = 0 // nobody was told of the crash either
	} else {
		x.sendsLeft = ownSends
	}
	s.updateBarred()
}

// Barred tells whether requests of a content must not be sent, and takes in that one is
// asked for.
func (s *Suspects) Barred(now time.Duration, c Fingerprint) bool {
	x := s.byFingerprint[c]
	if x == nil || !x.barred {
		return false
	}
	x.refused.advance(now)
	if !x.refusedReported.valid || now-x.refusedReported.at >= refusedReportInterval {
		// Routers that aren't asked would forget it.
		x.sendsLeft = max(x.sendsLeft, 1)
	}
	return true
}

// OneCrashFromBarred tells whether one more crash would bar a content.
func (s *Suspects) OneCrashFromBarred(c Fingerprint) bool {
	x := s.byFingerprint[c]
	return x != nil && shouldBar(len(x.crashes)+1, s.unexplained(x)+1)
}

// Crashes counts the servers that crashed under a content, those that another content
// explains included.
func (s *Suspects) Crashes(c Fingerprint) int {
	if x := s.byFingerprint[c]; x != nil {
		return len(x.crashes)
	}
	return 0
}

// TakeChanges returns the contents that became barred since the last call, or no longer are.
func (s *Suspects) TakeChanges() []Change {
	out := s.changed
	s.changed = nil
	return out
}

// Expire forgets what is old.
func (s *Suspects) Expire(now time.Duration) {
	for _, x := range s.byFingerprint {
		if now-x.lastUpdate() > Retention {
			s.remove(x)
		}
	}
	s.updateBarred()
}

// suspect returns what is known of a content, and makes room for it where it is new.
func (s *Suspects) getOrAdd(now time.Duration, c Fingerprint) *suspect {
	if x := s.byFingerprint[c]; x != nil {
		return x
	}
	if s.byFingerprint == nil {
		s.byFingerprint, s.byServer = make(map[Fingerprint]*suspect), make(map[Server][]*suspect)
	}
	if len(s.byFingerprint) >= maxSuspects {
		s.evict()
	}
	x := &suspect{fingerprint: c}
	s.byFingerprint[c] = x
	return x
}

// makeRoom forgets some of the suspects of which least is lost: those that are not barred,
// with the fewest crashes, known longest.
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

// addCrash adds a crash, and tells whether it was new and counts.
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

// clear makes all crashes up to a time count no more.
func (s *Suspects) clear(x *suspect, at time.Duration) {
	x.cleared.advance(at)
	x.recorded = false
	later := x.crashes
	s.dropCrashes(x)
	for _, c := range later {
		s.addCrash(x, c)
	}
}

func (s *Suspects) dropCrashes(x *suspect) {
	for _, c := range x.crashes {
		s.unlink(x, c.server)
	}
	x.crashes = nil
}

func (s *Suspects) unlink(x *suspect, server Server) {
	rest := slices.DeleteFunc(s.byServer[server], func(other *suspect) bool { return other == x })
	if len(rest) == 0 {
		delete(s.byServer, server)
		return
	}
	s.byServer[server] = rest
}
