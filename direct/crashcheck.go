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
	// crashed. began is when the response began, or when the request was sent.
	unframed bool
	began    time.Duration
}

// crashSuspect returns the current attempt of a request as a suspect.
func (r *requestState) crashSuspect() CrashSuspect {
	began := r.firstEventAt
	if began == 0 {
		began = r.sentAt
	}
	return CrashSuspect{Team: r.Team, Fingerprint: r.Fingerprint, Parts: r.sharedParts(), began: began}
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
		m.clearSuspect(now, r.crashSuspect())
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
			m.clearSuspect(now, suspect)
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
