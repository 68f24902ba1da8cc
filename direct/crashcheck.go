package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

const (
	// clearedAfter is how long after its first event a request has shown that it can be run:
	// one under which servers crash does so as soon as it is begun.
	clearedAfter = time.Second
	// crashWindow is how long a crash that was found out holds for attempts at the server that
	// break off later: all that it ran break off together, but for those that come late to be
	// looked at.
	crashWindow = time.Second
	// reprobeDelay is the time after which a server is probed again that could still be reached: a
	// process that ends may break its connections off some time before it stops listening.
	reprobeDelay = 100 * time.Millisecond
	// maxReportedSuspects bounds the suspects in one report, of some 40 bytes each.
	maxReportedSuspects = 16
	// suspectExpiryInterval is the time between two looks for suspects that are old.
	suspectExpiryInterval = time.Second
)

// crashCheck is what broke off at a server, or was given up there, and may have crashed it. Whether
// the server has crashed, or only a connection broke, a probe tells. The zero value is ready.
type crashCheck struct {
	awaitingProbe []quarantine.Fingerprint // that wait for a probe to end
	abandoned     []abandonedRequest       // whose callers left a moment ago, the oldest first; no reason for a probe
	reachedAt     time.Duration            // when a probe reached the server; 0: none has since they came
	crashed       bool
	crashedAt     time.Duration // when a probe last told that it has
}

// maxAbandoned bounds the contents that are kept of a server whose callers left: about what it
// runs at once.
const maxAbandoned = 64

// abandonedContent is a content whose attempt ended while its server may have begun to run it.
type abandonedRequest struct {
	fingerprint quarantine.Fingerprint
	at          time.Duration
}

// addAbandoned remembers a content whose caller left, or which was moved: if its server turns out to
// have crashed right after that, it is as suspect as those that broke off.
func (b *crashCheck) addAbandoned(now time.Duration, c quarantine.Fingerprint) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(l abandonedRequest) bool { return now-l.at > crashWindow })
	if len(b.abandoned) < maxAbandoned {
		b.abandoned = append(b.abandoned, abandonedRequest{c, now})
	}
}

// takeAbandoned returns the contents that callers left a moment ago, and forgets them.
func (b *crashCheck) takeAbandoned(now time.Duration) []quarantine.Fingerprint {
	var out []quarantine.Fingerprint
	for _, l := range b.abandoned {
		if now-l.at <= crashWindow {
			out = append(out, l.fingerprint)
		}
	}
	b.abandoned = nil
	return out
}

// recordContentOutcome takes in how an attempt ended, for what it says of its content.
func (m *Machine) recordCrashEvidence(now time.Duration, r *requestState, s *server, o Outcome) {
	if r.Fingerprint == 0 || !m.enabled(Quarantine) {
		return
	}
	switch {
	case o == Done:
		m.suspects.RecordSuccess(now, r.Fingerprint)
	case r.clearedOfCrash(now): // what crashes servers does so sooner
	case o == Broken, o == Hung:
		// An attempt that was given up may crash its server after that: a busy server begins
		// to run it late.
		m.suspectIfCrashed(now, r, s)
	case o == GivenUp, o == Moved:
		s.blamed.addAbandoned(now, r.Fingerprint)
	}
}

// settled tells whether the attempt has run for so long that it is not what crashes its server.
func (r *requestState) clearedOfCrash(now time.Duration) bool {
	return r.firstEventAt > 0 && now-r.firstEventAt >= clearedAfter
}

// blameFor has an attempt that broke off be suspected if its server has crashed.
func (m *Machine) suspectIfCrashed(now time.Duration, r *requestState, s *server) {
	b := &s.blamed
	if b.crashed && now-b.crashedAt < crashWindow {
		m.suspects.RecordCrash(now, r.Fingerprint, quarantine.Server(s.loadKey))
		return
	}
	b.awaitingProbe = append(b.awaitingProbe, r.Fingerprint)
	if len(b.awaitingProbe) == 1 {
		m.emit(ProbeCmd{Server: s.Server})
	}
}

// blameEnded takes in what a probe tells of a server at which attempts broke off. Only a host
// that answers says that the server has crashed: where nothing answers, the network may have
// failed. It tells whether the server has crashed.
func (m *Machine) resolveCrashCheck(msg ProbeResultMsg, s *server) bool {
	b := &s.blamed
	if len(b.awaitingProbe) == 0 {
		return false
	}
	if msg.Reached && b.reachedAt == 0 {
		b.reachedAt = msg.Now
		m.pendingReprobes = append(m.pendingReprobes, s)
		return false
	}
	contents := b.awaitingProbe
	b.awaitingProbe, b.reachedAt = nil, 0
	if !msg.ConnRefused {
		return false
	}
	b.crashed, b.crashedAt = true, msg.Now
	contents = append(contents, b.takeAbandoned(msg.Now)...)
	for _, c := range contents {
		m.suspects.RecordCrash(msg.Now, c, quarantine.Server(s.loadKey))
	}
	m.emit(CrashCmd{Server: s.Server, Suspects: contents})
	return true
}

// probeAgain probes servers again that could still be reached a moment ago.
func (m *Machine) reprobe(now time.Duration) {
	kept := m.pendingReprobes[:0]
	for _, s := range m.pendingReprobes {
		switch {
		case len(s.blamed.awaitingProbe) == 0:
		case now-s.blamed.reachedAt < reprobeDelay:
			kept = append(kept, s)
		default:
			m.emit(ProbeCmd{Server: s.Server})
		}
	}
	clear(m.pendingReprobes[len(kept):])
	m.pendingReprobes = kept
}

// hearSuspects takes in what another router tells of suspects.
func (m *Machine) mergeSuspects(now time.Duration, report Report) {
	if !m.enabled(Quarantine) {
		return
	}
	m.suspects.ApplyReports(now, report.Suspects)
	m.suspects.CompareDigest(now, report.SuspectsDigest)
}

// dropSuspects forgets old suspects, now and then.
func (m *Machine) expireSuspects(now time.Duration) {
	if now-m.suspectsPrunedAt < suspectExpiryInterval {
		return
	}
	m.suspectsPrunedAt = now
	m.suspects.Expire(now)
}

// tellQuarantine says what a message has barred, and what it has released.
func (m *Machine) emitQuarantineChanges() {
	if m.suspects.TakeUrgent() {
		m.emit(ReportCmd{})
	}
	for _, c := range m.suspects.TakeChanges() {
		m.emit(QuarantineCmd{Change: c})
	}
}

// PendingRecords returns which records of barred contents the store should get, and which it should
// lose.
func (m *Machine) PendingRecords() (add, remove []quarantine.Fingerprint) {
	return m.suspects.Unrecorded(), m.suspects.Outdated()
}

// QuarantineStates returns what is known of contents under which servers crashed, most at a time.
func (m *Machine) QuarantineStates(now time.Duration, limit int) []quarantine.State {
	return m.suspects.States(now, limit)
}
