package direct

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// crashingFingerprint is the fingerprint of requests that crash servers.
const crashingFingerprint quarantine.Fingerprint = 99

// requestWith returns a request with a fingerprint.
func (h *harness) requestWith(fingerprint quarantine.Fingerprint) Request {
	r := h.request("red", PromptPart{ID: uint64(h.lastID), Tokens: 100}, PromptPart{ID: uint64(h.lastID) << 20, Tokens: 1000})
	r.Fingerprint = fingerprint
	return r
}

// breakAttempt ends the attempt of a request as broken, answers a probe of its server with
// result, and returns the resulting commands.
func (h *harness) breakAttempt(id RequestID, result ProbeResultMsg) []Cmd {
	cmds := h.end(id, Broken, true)
	if probe, ok := findCmd[ProbeCmd](cmds); ok {
		result.Now, result.Server = h.now, probe.Server.ID
		cmds = append(cmds, h.m.Update(result)...)
	}
	return cmds
}

// crashServer sends a request with one attempt, which crashes its server.
func (h *harness) crashServer(fingerprint quarantine.Fingerprint) {
	h.t.Helper()
	r := h.requestWith(fingerprint)
	h.sent(h.arrive(r))
	r.Attempts = 1
	h.m.requests[r.ID].Attempts = 1
	h.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
	h.advance(5 * time.Second) // the crashed server is replaced meanwhile
}

// TestThirdCrashQuarantines crashes servers with one fingerprint. The third crash ends the
// request, though it has attempts left, and further requests of the fingerprint are refused at
// once. Requests of other fingerprints are sent.
func TestThirdCrashQuarantines(t *testing.T) {
	h := newHarness(t, 8)
	first := h.requestWith(crashingFingerprint)
	h.sent(h.arrive(first))
	h.sent(h.breakAttempt(first.ID, ProbeResultMsg{ConnRefused: true}))
	failed, ok := findCmd[FailCmd](h.breakAttempt(first.ID, ProbeResultMsg{ConnRefused: true}))
	require.True(t, ok)
	require.Equal(t, ReasonAttempts, failed.Reason)

	second := h.requestWith(crashingFingerprint)
	h.sent(h.arrive(second))
	cmds := h.breakAttempt(second.ID, ProbeResultMsg{ConnRefused: true})
	failed, ok = findCmd[FailCmd](cmds)
	require.True(t, ok, "sent to a further server: %v", cmds)
	require.Equal(t, ReasonQuarantined, failed.Reason)
	began, ok := findCmd[QuarantineCmd](cmds)
	require.True(t, ok)
	require.Equal(t, quarantine.Change{Fingerprint: crashingFingerprint, Barred: true, Crashes: 3}, began.Change)

	refused, ok := findCmd[RefuseCmd](h.arrive(h.requestWith(crashingFingerprint)))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, refused.Reason)
	require.Equal(t, quarantine.Retention, refused.RetryAfter)
	h.sent(h.arrive(h.requestWith(crashingFingerprint + 1)))
	h.sent(h.arrive(h.requestWith(0)))
}

// TestBrokenConnectionIsNotACrash breaks attempts at servers that are reachable or in an
// unknown state: no request becomes a suspect.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	for _, result := range []ProbeResultMsg{{Reached: true}, {}, {RouterLate: true}} {
		h := newHarness(t, 8)
		for range 4 {
			r := h.requestWith(crashingFingerprint)
			h.sent(h.arrive(r))
			h.breakAttempt(r.ID, result)
			h.advance(5 * time.Second)
		}
		require.Zero(t, h.m.suspects.Crashes(crashingFingerprint))
	}
}

// TestReachableServerIsProbedAgain has a stopping server close its connections before it stops
// listening: the first probe still reaches it, the second doesn't.
func TestReachableServerIsProbedAgain(t *testing.T) {
	for refused, crashes := range map[bool]int{true: 1, false: 0} {
		h := newHarness(t, 2)
		r := h.requestWith(crashingFingerprint)
		h.sent(h.arrive(r))
		h.breakAttempt(r.ID, ProbeResultMsg{Reached: true})
		require.Zero(t, h.m.suspects.Crashes(crashingFingerprint))
		_, early := findCmd[ProbeCmd](h.advance(reprobeDelay - TickInterval))
		require.False(t, early)
		probe, again := findCmd[ProbeCmd](h.advance(2 * TickInterval))
		require.True(t, again)
		h.m.Update(ProbeResultMsg{Now: h.now, Server: probe.Server.ID, Reached: !refused, ConnRefused: refused})
		require.Equal(t, crashes, h.m.suspects.Crashes(crashingFingerprint))
		_, more := findCmd[ProbeCmd](h.advance(time.Second))
		require.False(t, more)
	}
}

// TestLongRunningRequestIsNotSuspected crashes a server while it runs a request that has run
// for long, and one that has just started.
func TestLongRunningRequestIsNotSuspected(t *testing.T) {
	for runTime, crashes := range map[time.Duration]int{clearedAfter: 0, clearedAfter - TickInterval: 1} {
		h := newHarness(t, 2)
		r := h.requestWith(crashingFingerprint)
		h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
		h.advance(runTime)
		h.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
		require.Equal(t, crashes, h.m.suspects.Crashes(crashingFingerprint))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
		h.end(r.ID, Done, false)
		require.Zero(t, h.m.suspects.Crashes(crashingFingerprint), "another server completed it")
	}
}

// TestAllBrokenAttemptsAreSuspected crashes a server that runs several requests: one probe
// covers all of them, including those that are processed after it.
func TestAllBrokenAttemptsAreSuspected(t *testing.T) {
	h := newHarness(t, 1)
	var all []Request
	for i := range quarantine.Fingerprint(3) {
		r := h.requestWith(crashingFingerprint + i)
		r.Attempts = 1
		h.sent(h.arrive(r))
		all = append(all, r)
	}
	probe, ok := findCmd[ProbeCmd](h.end(all[0].ID, Broken, true))
	require.True(t, ok)
	_, ok = findCmd[ProbeCmd](h.end(all[1].ID, Broken, true))
	require.False(t, ok, "only one probe per server")
	crashed, ok := findCmd[CrashCmd](h.m.Update(ProbeResultMsg{Now: h.now, Server: probe.Server.ID, ConnRefused: true}))
	require.True(t, ok)
	require.Len(t, crashed.Suspects, 2)
	_, ok = findCmd[ProbeCmd](h.end(all[2].ID, Broken, true))
	require.False(t, ok)
	for i := range quarantine.Fingerprint(3) {
		require.Equal(t, 1, h.m.suspects.Crashes(crashingFingerprint+i))
	}
}

// TestQuarantineReachesAllRouters crashes servers at one router: another router refuses
// requests of that fingerprint, including one in its queue.
func TestQuarantineReachesAllRouters(t *testing.T) {
	reporter, receiver := newHarness(t, 8), newHarness(t, 1)
	for range quarantine.CrashThreshold {
		reporter.crashServer(crashingFingerprint)
	}
	for range 60 { // fills its server
		receiver.arrive(receiver.requestWith(1))
	}
	queued := receiver.requestWith(crashingFingerprint)
	require.Empty(t, receiver.arrive(queued), "the request must be queued")
	receiver.m.Update(PeerReportMsg{Now: receiver.now, Peer: "here", Report: reporter.m.Report(reporter.now)})
	refused := receiver.advance(TickInterval)
	found := false
	for _, c := range refused {
		if c, ok := c.(RefuseCmd); ok && c.ID == queued.ID {
			found = true
			require.Equal(t, ReasonQuarantined, c.Reason)
		}
	}
	require.True(t, found)
	cmd, ok := findCmd[RefuseCmd](receiver.arrive(receiver.requestWith(crashingFingerprint)))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, cmd.Reason)
}

// TestCrashesAreToldAtOnce checks that a router reports the second and the third crash without
// waiting for its next heartbeat, and that a router that receives a report of the third
// forwards it. Without this, copies of a request crashed four more servers at routers that had
// no report yet.
func TestCrashesAreToldAtOnce(t *testing.T) {
	reporter, receiver := newHarness(t, 8), newHarness(t, 8)
	var received []Cmd
	for crashes := 1; crashes <= quarantine.CrashThreshold; crashes++ {
		r := reporter.requestWith(crashingFingerprint)
		r.Attempts = 1
		reporter.sent(reporter.arrive(r))
		_, reported := findCmd[ReportCmd](reporter.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true}))
		require.Equal(t, crashes > 1, reported, "crash %d", crashes)
		if reported {
			received = receiver.m.Update(PeerReportMsg{Now: receiver.now, Peer: "here", Report: reporter.m.Report(reporter.now)})
		}
		reporter.advance(5 * time.Second)
	}
	_, forwarded := findCmd[ReportCmd](received)
	require.True(t, forwarded)
	refused, ok := findCmd[RefuseCmd](receiver.arrive(receiver.requestWith(crashingFingerprint)))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, refused.Reason)
}

// TestAbandonedAttemptIsSuspected crashes a server after an attempt at it has ended on the
// router's side. A timeout starts a probe. A caller that left starts none, but counts if another
// attempt breaks at the server.
func TestAbandonedAttemptIsSuspected(t *testing.T) {
	for outcome, probes := range map[Outcome]bool{Hung: true, GivenUp: false} {
		h := newHarness(t, 1)
		r := h.requestWith(crashingFingerprint)
		server := h.sent(h.arrive(r))
		other := h.requestWith(crashingFingerprint + 1)
		require.Equal(t, server, h.sent(h.arrive(other)))
		probe, probed := findCmd[ProbeCmd](h.end(r.ID, outcome, false))
		require.Equal(t, probes, probed, outcome)
		h.advance(TickInterval)
		if !probes {
			probe, probed = findCmd[ProbeCmd](h.end(other.ID, Broken, false))
			require.True(t, probed)
		}
		h.m.Update(ProbeResultMsg{Now: h.now, Server: probe.Server.ID, ConnRefused: true})
		require.Equal(t, 1, h.m.suspects.Crashes(crashingFingerprint), outcome)
	}
}

// TestOldAbandonedAttemptsAreNotSuspected checks that attempts abandoned before crashWindow are
// not suspects of a crash, and that the number that is kept is bounded.
func TestOldAbandonedAttemptsAreNotSuspected(t *testing.T) {
	h := newHarness(t, 1)
	for i := range maxAbandoned + 10 {
		r := h.requestWith(crashingFingerprint + quarantine.Fingerprint(i))
		h.sent(h.arrive(r))
		h.end(r.ID, GivenUp, false)
	}
	require.Len(t, h.m.byServer["e0"].crashState.abandoned, maxAbandoned)
	h.advance(crashWindow + TickInterval)
	r := h.requestWith(crashingFingerprint + 1000)
	h.sent(h.arrive(r))
	h.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
	require.Equal(t, 1, h.m.suspects.Crashes(crashingFingerprint+1000))
	require.Zero(t, h.m.suspects.Crashes(crashingFingerprint))
}
