package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

const (
	// settledAfter is how long after its first event a request has shown that it can be run:
	// one under which servers crash does so as soon as it is begun.
	settledAfter = time.Second
	// crashKnown is how long a crash that was found out holds for attempts at the server that
	// break off later: all that it ran break off together, but for those that come late to be
	// looked at.
	crashKnown = time.Second
	// probeAgainAfter is the time after which a server is probed again that could still be reached: a
	// process that ends may break its connections off some time before it stops listening.
	probeAgainAfter = 100 * time.Millisecond
	// suspectsTold bounds the suspects in one report, of some 40 bytes each.
	suspectsTold = 16
	// suspectsDropEvery is the time between two looks for suspects that are old.
	suspectsDropEvery = time.Second
)

// blame is what broke off at a server, or was given up there, and may have crashed it. Whether
// the server has crashed, or only a connection broke, a probe tells. The zero value is ready.
type blame struct {
	contents  []quarantine.Fingerprint // that wait for a probe to end
	left      []leftContent            // whose callers left a moment ago, the oldest first; no reason for a probe
	reachedAt time.Duration            // when a probe reached the server; 0: none has since they came
	crashed   bool
	crashedAt time.Duration // when a probe last told that it has
}

// leftMost bounds the contents that are kept of a server whose callers left: about what it
// runs at once.
const leftMost = 64

// leftContent is a content whose attempt ended while its server may have begun to run it.
type leftContent struct {
	content quarantine.Fingerprint
	at      time.Duration
}

// callerLeft remembers a content whose caller left, or which was moved: if its server turns out to
// have crashed right after that, it is as suspect as those that broke off.
func (b *blame) callerLeft(now time.Duration, c quarantine.Fingerprint) {
	b.left = slices.DeleteFunc(b.left, func(l leftContent) bool { return now-l.at > crashKnown })
	if len(b.left) < leftMost {
		b.left = append(b.left, leftContent{c, now})
	}
}

// takeLeft returns the contents that callers left a moment ago, and forgets them.
func (b *blame) takeLeft(now time.Duration) []quarantine.Fingerprint {
	var out []quarantine.Fingerprint
	for _, l := range b.left {
		if now-l.at <= crashKnown {
			out = append(out, l.content)
		}
	}
	b.left = nil
	return out
}

// noteContent takes in how an attempt ended, for what it says of its content.
func (m *Machine) noteContent(now time.Duration, r *requestState, s *server, o Outcome) {
	if r.Fingerprint == 0 || !m.enabled(Quarantine) {
		return
	}
	switch {
	case o == Done:
		m.suspects.RecordSuccess(now, r.Fingerprint)
	case r.settled(now): // what crashes servers does so sooner
	case o == Broken, o == Hung:
		// An attempt that was given up may crash its server after that: a busy server begins
		// to run it late.
		m.blameFor(now, r, s)
	case o == GivenUp, o == Moved:
		s.blamed.callerLeft(now, r.Fingerprint)
	}
}

// settled tells whether the attempt has run for so long that it is not what crashes its server.
func (r *requestState) settled(now time.Duration) bool {
	return r.firstEventAt > 0 && now-r.firstEventAt >= settledAfter
}

// blameFor has an attempt that broke off be suspected if its server has crashed.
func (m *Machine) blameFor(now time.Duration, r *requestState, s *server) {
	b := &s.blamed
	if b.crashed && now-b.crashedAt < crashKnown {
		m.suspects.RecordCrash(now, r.Fingerprint, quarantine.Server(s.loadKey))
		return
	}
	b.contents = append(b.contents, r.Fingerprint)
	if len(b.contents) == 1 {
		m.emit(ProbeCmd{Server: s.Server})
	}
}

// blameEnded takes in what a probe tells of a server at which attempts broke off. Only a host
// that answers says that the server has crashed: where nothing answers, the network may have
// failed. It tells whether the server has crashed.
func (m *Machine) blameEnded(msg ProbeResultMsg, s *server) bool {
	b := &s.blamed
	if len(b.contents) == 0 {
		return false
	}
	if msg.Reached && b.reachedAt == 0 {
		b.reachedAt = msg.Now
		m.pendingReprobes = append(m.pendingReprobes, s)
		return false
	}
	contents := b.contents
	b.contents, b.reachedAt = nil, 0
	if !msg.ConnRefused {
		return false
	}
	b.crashed, b.crashedAt = true, msg.Now
	contents = append(contents, b.takeLeft(msg.Now)...)
	for _, c := range contents {
		m.suspects.RecordCrash(msg.Now, c, quarantine.Server(s.loadKey))
	}
	m.emit(CrashCmd{Server: s.Server, Suspects: contents})
	return true
}

// probeAgain probes servers again that could still be reached a moment ago.
func (m *Machine) probeAgain(now time.Duration) {
	kept := m.pendingReprobes[:0]
	for _, s := range m.pendingReprobes {
		switch {
		case len(s.blamed.contents) == 0:
		case now-s.blamed.reachedAt < probeAgainAfter:
			kept = append(kept, s)
		default:
			m.emit(ProbeCmd{Server: s.Server})
		}
	}
	clear(m.pendingReprobes[len(kept):])
	m.pendingReprobes = kept
}

// hearSuspects takes in what another router tells of suspects.
func (m *Machine) hearSuspects(now time.Duration, told Report) {
	if !m.enabled(Quarantine) {
		return
	}
	m.suspects.ApplyReports(now, told.Suspects)
	m.suspects.CompareDigest(now, told.SuspectsDigest)
}

// dropSuspects forgets old suspects, now and then.
func (m *Machine) dropSuspects(now time.Duration) {
	if now-m.suspectsPrunedAt < suspectsDropEvery {
		return
	}
	m.suspectsPrunedAt = now
	m.suspects.Expire(now)
}

// tellQuarantine says what a message has barred, and what it has released.
func (m *Machine) tellQuarantine() {
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
func (m *Machine) QuarantineStates(now time.Duration, most int) []quarantine.State {
	return m.suspects.States(now, most)
}
