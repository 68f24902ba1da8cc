package direct

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/quarantine"
)

const (
	// clearedAfter is how long an attempt must run after its first event to be cleared of
	// causing a crash. A request that crashes servers does so as soon as a server starts to run
	// it.
	clearedAfter = time.Second
	// crashWindow is the maximum time between a detected crash and an attempt that is suspected
	// of it, whether the attempt was abandoned before or broke after. All attempts at the
	// server break at the same time, but some are processed late.
	crashWindow = time.Second
	// reprobeDelay is the delay before a server that a probe has reached is probed again. A
	// process that exits may close its connections some time before it stops listening.
	reprobeDelay = 100 * time.Millisecond
	// maxReportedSuspects limits the suspects in one report; each takes about 40 bytes.
	maxReportedSuspects = 16
	// maxReportedParts limits the parts in one report; each takes 10 bytes, and 12 for each crash.
	maxReportedParts = 32
	// suspectExpiryInterval is the time between two removals of old suspects.
	suspectExpiryInterval = time.Second
)

// crashCheck holds the requests that broke at a server, or were abandoned there, and may have
// crashed it. A probe distinguishes a crashed server from a broken connection. The zero value
// is ready to use.
type crashCheck struct {
	awaitingProbe []CrashSuspect     // broken attempts, until a probe resolves the check
	abandoned     []abandonedRequest // oldest first; they don't cause a probe
	reachedAt     time.Duration      // when a probe reached the server during this check; 0: none has
	crashed       bool
	crashedAt     time.Duration // when a probe last detected a crash
}

// CrashSuspect is a request that may have crashed the server that was executing it.
type CrashSuspect struct {
	Team        string
	Fingerprint quarantine.Fingerprint
	Parts       []PromptPart // that other requests may share
	// unframed reports that the response ended with its connection: it is whole unless the server has
	// crashed. It began at the given time.
	unframed bool
	began    time.Duration
}

func (r *Request) crashSuspect() CrashSuspect {
	return CrashSuspect{Team: r.Team, Fingerprint: r.Fingerprint, Parts: r.sharedParts()}
}

// partFingerprints returns the fingerprints of the parts that other requests may share.
func (c *CrashSuspect) partFingerprints() []quarantine.Fingerprint {
	set := quarantine.NewPartSet(c.Team)
	for _, part := range c.Parts {
		set.Add(part.ID)
	}
	return set.Fingerprints()
}

// maxAbandoned limits the abandoned requests that are kept per server: about as many as a
// server runs at once.
const maxAbandoned = 64

// abandonedRequest is a request whose attempt ended on this side while its server may have
// started to run it.
type abandonedRequest struct {
	suspect CrashSuspect
	at      time.Duration
}

// addAbandoned records a request whose caller left. If the server turns out to have crashed right
// after that, the request is as suspect as those that broke.
func (c *crashCheck) addAbandoned(now time.Duration, suspect CrashSuspect) {
	c.abandoned = slices.DeleteFunc(c.abandoned, func(a abandonedRequest) bool { return now-a.at > crashWindow })
	if len(c.abandoned) < maxAbandoned {
		c.abandoned = append(c.abandoned, abandonedRequest{suspect, now})
	}
}

// takeAbandoned removes all abandoned requests and returns those within crashWindow.
func (c *crashCheck) takeAbandoned(now time.Duration) []CrashSuspect {
	var out []CrashSuspect
	for _, a := range c.abandoned {
		if now-a.at <= crashWindow {
			out = append(out, a.suspect)
		}
	}
	c.abandoned = nil
	return out
}

// recordCrashEvidence updates the suspects with the outcome of an attempt. An unframed response
// ended with its connection.
func (m *Machine) recordCrashEvidence(now time.Duration, r *requestState, s *server, o Outcome, unframed bool) {
	if r.Fingerprint == 0 || !m.enabled(Quarantine) {
		return
	}
	switch {
	case o == Done && unframed:
		m.suspectIfUnframed(now, r, s)
	case o == Done:
		m.suspects.RecordSuccess(now, r.Fingerprint)
		m.recordWhole(now, r)
	case r.clearedOfCrash(now): // a request that crashes servers does so sooner
	case o == Broken, o == Hung:
		// A server may crash after the attempt has timed out: a busy server starts to run it
		// late.
		m.suspectIfCrashed(now, r, s)
	case o == GivenUp:
		s.crashState.addAbandoned(now, r.crashSuspect())
	}
}

// clearedOfCrash reports whether the attempt has run too long to be the cause of a crash.
func (r *requestState) clearedOfCrash(now time.Duration) bool {
	return r.firstEventAt > 0 && now-r.firstEventAt >= clearedAfter
}

// suspectIfCrashed records a broken attempt as a suspect if its server has crashed, and starts
// a probe if that is not known yet.
func (m *Machine) suspectIfCrashed(now time.Duration, r *requestState, s *server) {
	check := &s.crashState
	if check.crashed && now-check.crashedAt < crashWindow {
		m.recordCrash(now, r.crashSuspect(), s)
		return
	}
	check.awaitingProbe = append(check.awaitingProbe, r.crashSuspect())
	if len(check.awaitingProbe) == 1 {
		m.emit(ProbeCmd{Server: s.Server})
	}
}

// resolveCrashCheck handles the result of a probe of a server with broken attempts and reports
// whether the server has crashed. Only a refused connection proves a crash: if the host doesn't
// respond, the network may have failed.
func (m *Machine) resolveCrashCheck(msg ProbeResultMsg, s *server) bool {
	check := &s.crashState
	if len(check.awaitingProbe) == 0 {
		return false
	}
	if msg.Reached && check.reachedAt == 0 {
		check.reachedAt = msg.Now
		m.pendingReprobes = append(m.pendingReprobes, s)
		return false
	}
	suspects := check.awaitingProbe
	check.awaitingProbe, check.reachedAt = nil, 0
	if !msg.ConnRefused {
		if msg.Reached {
			m.clearUnframed(msg.Now, suspects)
		}
		return false
	}
	check.crashed, check.crashedAt = true, msg.Now
	suspects = append(suspects, check.takeAbandoned(msg.Now)...)
	for _, suspect := range suspects {
		m.recordCrash(msg.Now, suspect, s)
	}
	m.emit(CrashCmd{Server: s.Server, Suspects: suspects})
	return true
}

// clearUnframed records the unframed responses among the suspects as whole, as their server lives.
func (m *Machine) clearUnframed(now time.Duration, suspects []CrashSuspect) {
	for _, suspect := range suspects {
		if suspect.unframed {
			m.suspects.RecordSuccess(now, suspect.Fingerprint)
			m.partSuspects.RecordWhole(now, suspect.began, suspect.partFingerprints()...)
		}
	}
}

// recordCrash records the crash of a server under a request and the parts of its prompt.
func (m *Machine) recordCrash(now time.Duration, suspect CrashSuspect, s *server) {
	m.suspects.RecordCrash(now, suspect.Fingerprint, quarantine.Server(s.loadKey))
	crash := quarantine.Crash{
		Server: quarantine.Server(s.loadKey), Hall: uint16(xxhash.Sum64String(s.Zone)), Request: quarantine.RequestHash(suspect.Fingerprint),
	}
	m.partSuspects.RecordCrashOf(now, crash, suspect.partFingerprints()...)
}

// reprobe probes the servers again that a probe has reached during a crash check.
func (m *Machine) reprobe(now time.Duration) {
	kept := m.pendingReprobes[:0]
	for _, s := range m.pendingReprobes {
		switch {
		case len(s.crashState.awaitingProbe) == 0:
		case now-s.crashState.reachedAt < reprobeDelay:
			kept = append(kept, s)
		default:
			m.emit(ProbeCmd{Server: s.Server})
		}
	}
	clear(m.pendingReprobes[len(kept):])
	m.pendingReprobes = kept
}

// mergeSuspects merges the suspects of another router's report.
func (m *Machine) mergeSuspects(now time.Duration, report Report) {
	if !m.enabled(Quarantine) {
		return
	}
	m.suspects.ApplyReports(now, report.Suspects)
	m.suspects.CompareDigest(now, report.SuspectsDigest)
	m.partSuspects.ApplyReports(now, report.PartSuspects)
	if report.PartsDigest != (quarantine.Digest{}) {
		m.peerPartsAt = now
	}
	if report.HasParts {
		m.partSuspects.CompareDigest(now, report.PartsDigest)
	}
}

// expireSuspects removes old suspects, once per suspectExpiryInterval.
func (m *Machine) expireSuspects(now time.Duration) {
	if now-m.suspectsExpiredAt < suspectExpiryInterval {
		return
	}
	m.suspectsExpiredAt = now
	m.suspects.Expire(now)
	m.partSuspects.Expire(now)
}

// emitQuarantineChanges emits the changes of the quarantine since the last call, and a report
// to the other routers if they are urgent.
func (m *Machine) emitQuarantineChanges() {
	for _, c := range m.suspects.TakeChanges() {
		m.emit(QuarantineCmd{Change: c})
		m.partSuspects.ContentsChanged()
	}
	abort := false
	for _, c := range m.partSuspects.TakeChanges() {
		m.emit(QuarantineCmd{Change: c})
		abort = abort || c.Barred
	}
	if abort {
		m.abortBarred()
	}
	urgent := m.suspects.TakeUrgent()
	if m.partSuspects.TakeUrgent() || urgent {
		m.emit(ReportCmd{})
	}
}

// suspectsOf returns the state of the fingerprints of a kind.
func (m *Machine) suspectsOf(kind quarantine.Kind) *quarantine.Suspects {
	if kind == quarantine.Part {
		return &m.partSuspects
	}
	return &m.suspects
}

// PendingRecords returns the fingerprints of a kind whose quarantine records have to be added to
// the store, and those whose records have to be removed.
func (m *Machine) PendingRecords(kind quarantine.Kind) (add, remove []quarantine.Fingerprint) {
	suspects := m.suspectsOf(kind)
	return suspects.Unrecorded(), suspects.Outdated()
}

// QuarantineStates returns the state of at most limit suspects of each kind.
func (m *Machine) QuarantineStates(now time.Duration, limit int) []quarantine.State {
	return append(m.suspects.States(now, limit), m.partSuspects.States(now, limit)...)
}
