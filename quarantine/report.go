package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tellOwn is how many lists tell of what this router has learned itself: of ten lists one
	// may be lost. tellHeard is the same for grave contents that others told of, since in a
	// large fleet a list reaches only some routers. A content under which one server crashed,
	// as most of its company have seen, is told by the router that saw it alone: where a second
	// crash follows, some router has heard of both, and tells that on.
	ownSends   = 3
	relaySends = 1
	// repeatEvery is the least time between two times that all which are barred, or nearly, are
	// told again, because another router knows others.
	resendInterval = 500 * time.Millisecond
)

// Report is what a router tells others of one content. Times are told as ages, since clocks
// of hosts differ.
type Report struct {
	Content Fingerprint
	// Grave says that more than one server has crashed under it. Other reports needn't be told
	// to other regions.
	Grave    bool
	Crashes  []CrashReport
	Cleared  bool
	ClearAge Age // since it was cleared
	Asked    bool
	AskAge   Age // since it was last refused
}

// CrashReport is one crash of a server that was running a content.
type CrashReport struct {
	Server Server
	Age    Age
}

// Age is a time that has passed, in milliseconds.
type Age uint32

func ageOf(d time.Duration) Age { return Age(max(d.Milliseconds(), 0)) }

func (a Age) duration() time.Duration { return time.Duration(a) * time.Millisecond }

// TakeReports returns what others have yet to be told, most at a time: first of the contents under which
// most servers crashed, then of those that were learned last.
func (s *Suspects) TakeReports(now time.Duration, limit int) []Report {
	var due []*suspect
	for _, x := range s.byFingerprint {
		if x.sendsLeft > 0 {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *suspect) int {
		return cmp.Or(-cmp.Compare(len(a.crashes), len(b.crashes)), -cmp.Compare(a.lastUpdate(), b.lastUpdate()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	var out []Report
	for _, x := range due[:min(len(due), limit)] {
		x.sendsLeft--
		x.refusedReported = x.refused
		out = append(out, x.report(now))
	}
	return out
}

func (x *suspect) report(now time.Duration) Report {
	r := Report{Content: x.fingerprint, Grave: x.multiCrash, Cleared: x.cleared.valid, Asked: x.refused.valid}
	if r.Cleared {
		r.ClearAge = ageOf(now - x.cleared.at)
	}
	if r.Asked {
		r.AskAge = ageOf(now - x.refused.at)
	}
	for _, c := range x.crashes {
		r.Crashes = append(r.Crashes, CrashReport{Server: c.server, Age: ageOf(now - c.at)})
	}
	return r
}

// ApplyReports takes in what another router told. Reports may be late, lost, repeated and reordered:
// crashes are added up, and the newest clearing holds.
func (s *Suspects) ApplyReports(now time.Duration, reports []Report) {
	for _, r := range reports {
		s.applyReport(now, r)
	}
	if len(reports) > 0 {
		s.updateBarred()
	}
}

func (s *Suspects) applyReport(now time.Duration, r Report) {
	if r.Content == 0 || r.expired() {
		return
	}
	x := s.getOrAdd(now, r.Content)
	changed := false
	if at := now - r.ClearAge.duration(); r.Cleared && (!x.cleared.valid || at > x.cleared.at+ageTolerance) {
		s.clear(x, at)
		changed = true
	}
	stale := len(r.Crashes) > 0
	for _, c := range r.Crashes {
		at := now - c.Age.duration()
		stale = stale && x.clearedSince(at)
		changed = s.addCrash(x, crash{c.Server, at}) || changed
	}
	if r.Asked {
		x.refused.advance(now - r.AskAge.duration())
	}
	x.multiCrash = x.multiCrash || r.Grave
	if x.multiCrash && (changed || stale) {
		// A teller of crashes that no longer count hasn't heard that they were cleared.
		x.sendsLeft = max(x.sendsLeft, relaySends)
	}
}

// sameTime is how much the age of one event may differ between what two routers told: the time
// that lists take.
const ageTolerance = 100 * time.Millisecond

// old tells whether all that a report says is too old to be kept.
func (r Report) expired() bool {
	maxAge := ageOf(Retention)
	recent := (r.Cleared && r.ClearAge <= maxAge) || (r.Asked && r.AskAge <= maxAge)
	return !recent && !slices.ContainsFunc(r.Crashes, func(c CrashReport) bool { return c.Age <= maxAge })
}

// nearlyBarred tells whether one more crash may bar the content.
func (x *suspect) nearlyBarred() bool { return !x.barred && len(x.crashes) >= CrashThreshold-1 }

// Digest is short sums of contents, by which routers find out that they know others; 0 for none.
type Digest struct {
	Barred       uint64
	NearlyBarred uint64 // one more crash may bar them
}

// add adds a content's part.
func (d *Digest) add(x *suspect) {
	switch {
	case x.barred:
		d.Barred += uint64(x.fingerprint)
	case x.nearlyBarred():
		d.NearlyBarred += uint64(x.fingerprint)
	}
}

// Digest sums up what all routers have to know.
func (s *Suspects) Digest() Digest { return s.digest }

// CompareDigest takes in the digest of another router. Where it differs, what it stands for is told
// again, so that also a router that was away or has just started learns of it.
func (s *Suspects) CompareDigest(now time.Duration, digest Digest) {
	if digest == s.Digest() || now-s.lastResend < resendInterval {
		return
	}
	s.lastResend = now
	for _, x := range s.byFingerprint {
		if x.barred || x.nearlyBarred() {
			x.sendsLeft = max(x.sendsLeft, 1)
		}
	}
}
