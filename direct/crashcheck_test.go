package direct

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// crashingFingerprint is the fingerprint of requests that crash servers.
const crashingFingerprint quarantine.Content = 99

// requestWith returns a request with a fingerprint.
func (b *harness) requestWith(fingerprint quarantine.Content) Request {
	r := b.request("red", PromptPart{ID: uint64(b.lastID), Tokens: 100}, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 1000})
	r.Fingerprint = fingerprint
	return r
}

// breakAttempt ends the attempt of a request as broken, answers a probe of its server with
// result, and returns the resulting commands.
func (b *harness) breakAttempt(id RequestID, result ProbeResultMsg) []Cmd {
	cmds := b.end(id, Broken, true)
	if probe, ok := findCmd[ProbeCmd](cmds); ok {
		result.Now, result.Server = b.now, probe.Server.ID
		cmds = append(cmds, b.m.Update(result)...)
	}
	return cmds
}

// crashServer sends a request with one attempt, which crashes its server.
func (b *harness) crashServer(fingerprint quarantine.Content) {
	b.t.Helper()
	r := b.requestWith(fingerprint)
	b.sent(b.arrive(r))
	r.Attempts = 1
	b.m.requests[r.ID].Attempts = 1
	b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
	b.advance(5 * time.Second) // the crashed server is replaced meanwhile
}

// TestThirdCrashQuarantines crashes servers with one fingerprint. The third crash ends the
// request, though it has attempts left, and further requests of the fingerprint are refused at
// once. Requests of other fingerprints are sent.
func TestThirdCrashQuarantines(t *testing.T) {
	b := newHarness(t, 8)
	first := b.requestWith(crashingFingerprint)
	b.sent(b.arrive(first))
	b.sent(b.breakAttempt(first.ID, ProbeResultMsg{ConnRefused: true}))
	failed, ok := findCmd[FailCmd](b.breakAttempt(first.ID, ProbeResultMsg{ConnRefused: true}))
	require.True(t, ok)
	require.Equal(t, ReasonAttempts, failed.Reason)

	second := b.requestWith(crashingFingerprint)
	b.sent(b.arrive(second))
	cmds := b.breakAttempt(second.ID, ProbeResultMsg{ConnRefused: true})
	failed, ok = findCmd[FailCmd](cmds)
	require.True(t, ok, "sent to a further server: %v", cmds)
	require.Equal(t, ReasonQuarantined, failed.Reason)
	began, ok := findCmd[QuarantineCmd](cmds)
	require.True(t, ok)
	require.Equal(t, quarantine.Change{Content: crashingFingerprint, Barred: true, Crashes: 3}, began.Change)

	refused, ok := findCmd[RefuseCmd](b.arrive(b.requestWith(crashingFingerprint)))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, refused.Reason)
	require.Equal(t, quarantine.Hold, refused.RetryAfter)
	b.sent(b.arrive(b.requestWith(crashingFingerprint + 1)))
	b.sent(b.arrive(b.requestWith(0)))
}

// TestBrokenConnectionIsNotACrash breaks attempts at servers that are reachable or in an
// unknown state: no request becomes a suspect.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	for _, result := range []ProbeResultMsg{{Reached: true}, {}, {RouterLate: true}} {
		b := newHarness(t, 8)
		for range 4 {
			r := b.requestWith(crashingFingerprint)
			b.sent(b.arrive(r))
			b.breakAttempt(r.ID, result)
			b.advance(5 * time.Second)
		}
		require.Zero(t, b.m.suspects.Crashes(crashingFingerprint))
	}
}

// TestReachableServerIsProbedAgain has a stopping server close its connections before it stops
// listening: the first probe still reaches it, the second doesn't.
func TestReachableServerIsProbedAgain(t *testing.T) {
	for refused, crashes := range map[bool]int{true: 1, false: 0} {
		b := newHarness(t, 2)
		r := b.requestWith(crashingFingerprint)
		b.sent(b.arrive(r))
		b.breakAttempt(r.ID, ProbeResultMsg{Reached: true})
		require.Zero(t, b.m.suspects.Crashes(crashingFingerprint))
		_, early := findCmd[ProbeCmd](b.advance(reprobeDelay - TickInterval))
		require.False(t, early)
		probe, again := findCmd[ProbeCmd](b.advance(2 * TickInterval))
		require.True(t, again)
		b.m.Update(ProbeResultMsg{Now: b.now, Server: probe.Server.ID, Reached: !refused, ConnRefused: refused})
		require.Equal(t, crashes, b.m.suspects.Crashes(crashingFingerprint))
		_, more := findCmd[ProbeCmd](b.advance(time.Second))
		require.False(t, more)
	}
}

// TestLongRunningRequestIsNotSuspected crashes a server while it runs a request that has run
// for long, and one that has just started.
func TestLongRunningRequestIsNotSuspected(t *testing.T) {
	for runTime, crashes := range map[time.Duration]int{clearedAfter: 0, clearedAfter - TickInterval: 1} {
		b := newHarness(t, 2)
		r := b.requestWith(crashingFingerprint)
		b.sent(b.arrive(r))
		b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
		b.advance(runTime)
		b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
		require.Equal(t, crashes, b.m.suspects.Crashes(crashingFingerprint))
		b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
		b.end(r.ID, Done, false)
		require.Zero(t, b.m.suspects.Crashes(crashingFingerprint), "another server completed it")
	}
}

// TestAllBrokenAttemptsAreSuspected crashes a server that runs several requests: one probe
// covers all of them, including those that are processed after it.
func TestAllBrokenAttemptsAreSuspected(t *testing.T) {
	b := newHarness(t, 1)
	var all []Request
	for i := range quarantine.Content(3) {
		r := b.requestWith(crashingFingerprint + i)
		r.Attempts = 1
		b.sent(b.arrive(r))
		all = append(all, r)
	}
	probe, ok := findCmd[ProbeCmd](b.end(all[0].ID, Broken, true))
	require.True(t, ok)
	_, ok = findCmd[ProbeCmd](b.end(all[1].ID, Broken, true))
	require.False(t, ok, "only one probe per server")
	crashed, ok := findCmd[CrashCmd](b.m.Update(ProbeResultMsg{Now: b.now, Server: probe.Server.ID, ConnRefused: true}))
	require.True(t, ok)
	require.Len(t, crashed.Suspects, 2)
	_, ok = findCmd[ProbeCmd](b.end(all[2].ID, Broken, true))
	require.False(t, ok)
	for i := range quarantine.Content(3) {
		require.Equal(t, 1, b.m.suspects.Crashes(crashingFingerprint+i))
	}
}

// TestQuarantineReachesAllRouters crashes servers at one router: another router refuses
// requests of that fingerprint, including one in its queue.
func TestQuarantineReachesAllRouters(t *testing.T) {
	reporter, receiver := newHarness(t, 8), newHarness(t, 1)
	for range quarantine.CrashesMost {
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
	for crashes := 1; crashes <= quarantine.CrashesMost; crashes++ {
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
// router's side. A timeout starts a probe. A caller that left, or a move, starts none, but
// counts if another attempt breaks at the server.
func TestAbandonedAttemptIsSuspected(t *testing.T) {
	for outcome, probes := range map[Outcome]bool{Hung: true, GivenUp: false, Moved: false} {
		b := newHarness(t, 1)
		r := b.requestWith(crashingFingerprint)
		server := b.sent(b.arrive(r))
		other := b.requestWith(crashingFingerprint + 1)
		require.Equal(t, server, b.sent(b.arrive(other)))
		probe, probed := findCmd[ProbeCmd](b.end(r.ID, outcome, false))
		require.Equal(t, probes, probed, outcome)
		b.advance(TickInterval)
		if !probes {
			probe, probed = findCmd[ProbeCmd](b.end(other.ID, Broken, false))
			require.True(t, probed)
		}
		b.m.Update(ProbeResultMsg{Now: b.now, Server: probe.Server.ID, ConnRefused: true})
		require.Equal(t, 1, b.m.suspects.Crashes(crashingFingerprint), outcome)
	}
}

// TestOldAbandonedAttemptsAreNotSuspected checks that attempts abandoned before crashWindow are
// not suspects of a crash, and that the number that is kept is bounded.
func TestOldAbandonedAttemptsAreNotSuspected(t *testing.T) {
	b := newHarness(t, 1)
	for i := range maxAbandoned + 10 {
		r := b.requestWith(crashingFingerprint + quarantine.Content(i))
		b.sent(b.arrive(r))
		b.end(r.ID, GivenUp, false)
	}
	require.Len(t, b.m.byServer["e0"].crashState.abandoned, maxAbandoned)
	b.advance(crashWindow + TickInterval)
	r := b.requestWith(crashingFingerprint + 1000)
	b.sent(b.arrive(r))
	b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
	require.Equal(t, 1, b.m.suspects.Crashes(crashingFingerprint+1000))
	require.Zero(t, b.m.suspects.Crashes(crashingFingerprint))
}
