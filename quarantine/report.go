package quarantine

import (
	"slices"
	"time"
)

const (
	// ownSends is how many times this router reports what it observed itself, since one list of
	// reports in ten may be lost. relaySends is how many times it reports multi-crash fingerprints
	// that others reported, since in a large fleet a list reaches only some routers. A fingerprint
	// with one crash, like most of those on a crashed server, is reported only by the router that
	// observed it: if a second crash follows, some router receives both reports and relays them.
	ownSends   = 3
	relaySends = 1
	// resendInterval is the minimum time between two resends of all barred and nearly barred
	// fingerprints. A differing digest of another router triggers a resend.
	resendInterval = 500 * time.Millisecond
)

// Report holds what a router reports about one fingerprint. Times are sent as ages, since the
// clocks of hosts differ.
type Report struct {
	Content Fingerprint
	// Grave is set if there was more than one crash under the fingerprint. Other reports need
	// not be sent to other regions.
	Grave    bool
	Crashes  []CrashReport
	Cleared  bool
	ClearAge Age  // since it was cleared
	Asked    bool // a request was refused
	// Established is set for a part if the sender, or another router, has run for long enough to know
	// that it never had a whole response. Reports of contents don't have it.
	Established bool `msgpack:"-"`
	AskAge      Age  // since a request was last refused
}

// CrashReport is one crash of a server that was executing the fingerprint.
type CrashReport struct {
	Server Server
	Age    Age
	// Hall and Request are the fields of Crash. Reports of contents don't have them.
	Hall    uint16 `msgpack:"-"`
	Request uint16 `msgpack:"-"`
}

// Age is an elapsed time in milliseconds.
type Age uint32

func ageOf(d time.Duration) Age { return Age(max(d.Milliseconds(), 0)) }

func (a Age) duration() time.Duration { return time.Duration(a) * time.Millisecond }

func (x *suspect) report(now time.Duration) Report {
	r := Report{Established: x.established, Content: x.fingerprint, Grave: x.multiCrash, Cleared: x.cleared.valid, Asked: x.refused.valid}
	if r.Cleared {
		r.ClearAge = ageOf(now - x.cleared.at)
	}
	if r.Asked {
		r.AskAge = ageOf(now - x.refused.at)
	}
	for _, c := range x.crashes {
		r.Crashes = append(r.Crashes, CrashReport{Server: c.server, Age: ageOf(now - c.at), Hall: c.hall, Request: c.request})
	}
	return r
}

// ApplyReports merges the reports of another router. Reports may be late, lost, repeated and
// reordered: the union of all crashes after the latest clearing counts.
func (s *Suspects) ApplyReports(now time.Duration, reports []Report) {
	s.now = now
	for _, r := range reports {
		s.applyReport(now, r)
	}
	if len(reports) > 0 {
		s.stale = true
	}
}

func (s *Suspects) applyReport(now time.Duration, r Report) {
	if r.Content == 0 || r.expired() {
		return
	}
	x := s.getOrAdd(r.Content)
	changed := r.Cleared && s.applyClearing(x, now-r.ClearAge.duration())
	stale := len(r.Crashes) > 0
	for _, c := range r.Crashes {
		at := now - c.Age.duration()
		reported := crash{server: c.Server, at: at, hall: c.Hall, request: c.Request}
		stale = stale && x.clearedSince(at)
		s.logCrash(reported)
		changed = s.addCrash(x, reported) || x.mergeRequest(reported) || changed
	}
	if s.kind == Part && !r.Cleared && x.cleared.valid && len(r.Crashes) > 0 {
		x.sendsLeft = max(x.sendsLeft, relaySends) // the sender does not know that it was cleared
	}
	if r.Asked {
		x.refused.advance(now - r.AskAge.duration())
	}
	x.multiCrash = x.multiCrash || r.Grave
	x.established = x.established || r.Established
	if x.multiCrash && (changed || stale) || s.kind == Part && stale {
		// The sender of crashes that were already cleared has not received the clearing.
		x.sendsLeft = max(x.sendsLeft, relaySends)
	}
}

// applyClearing applies a clearing that another router has reported, and reports whether others may
// not know it yet.
func (s *Suspects) applyClearing(x *suspect, at time.Duration) bool {
	isNew := !x.cleared.valid || at > x.cleared.at+ageTolerance
	if !isNew && s.kind == Content {
		return false
	}
	crashes := len(x.crashes)
	s.clear(x, at)
	return isNew || len(x.crashes) < crashes
}

// ageTolerance is how much the age of one event may differ between the reports of two routers.
// It covers the delivery time of a list of reports.
const ageTolerance = 100 * time.Millisecond

// expired reports whether everything in the report is too old to be kept.
func (r Report) expired() bool {
	maxAge := ageOf(Retention)
	recent := (r.Cleared && r.ClearAge <= maxAge) || (r.Asked && r.AskAge <= maxAge)
	return !recent && !slices.ContainsFunc(r.Crashes, func(c CrashReport) bool { return c.Age <= maxAge })
}

// nearlyBarred reports whether one more crash may bar the fingerprint.
func (x *suspect) nearlyBarred() bool { return !x.barred && len(x.crashes) >= CrashThreshold-1 }

// Digest holds sums of fingerprints, by which routers detect that their states differ. A sum is
// 0 if there are no fingerprints.
type Digest struct {
	Barred       uint64 // of barred fingerprints
	NearlyBarred uint64 // of those that one more crash may bar
}

// add adds a fingerprint to the sum it belongs to.
func (d *Digest) add(kind Kind, x *suspect) {
	switch {
	case kind == Part && x.barred && len(x.crashes) == 0:
		// A router that knows only the store's record needs the reports of the crashes.
		d.Barred += uint64(x.fingerprint) * recordOnlyFactor
	case x.barred:
		d.Barred += uint64(x.fingerprint)
	case x.nearlyBarred():
		d.NearlyBarred += uint64(x.fingerprint)
	}
}

// recordOnlyFactor distinguishes fingerprints that only the store's record bars.
const recordOnlyFactor = 0x9e3779b97f4a7c15

// Digest returns the digest of the state that all routers should share.
func (s *Suspects) Digest() Digest {
	s.refresh()
	return s.digest
}

// CompareDigest compares the digest of another router with this one's. If they differ, the
// barred and nearly barred fingerprints are reported again, for a router that was away or has
// just started.
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
