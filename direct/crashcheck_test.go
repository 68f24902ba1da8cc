package direct

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// harmful is a content under which servers crash.
const crashingFingerprint quarantine.Fingerprint = 99

// with returns a request of a content.
func (b *harness) requestWith(c quarantine.Fingerprint) Request {
	r := b.request("red", PromptPart{ID: uint64(b.lastID), Tokens: 100}, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 1000})
	r.Fingerprint = c
	return r
}

// crash has the attempt of a request break off, with its server's host answering the probe as
// said, and returns what the request gets next.
func (b *harness) breakAttempt(id RequestID, probed ProbeResultMsg) []Cmd {
	cmds := b.end(id, Broken, true)
	if probe, ok := findCmd[ProbeCmd](cmds); ok {
		probed.Now, probed.Server = b.now, probe.Server.ID
		cmds = append(cmds, b.m.Update(probed)...)
	}
	return cmds
}

// crashOnce sends a request once, which crashes its server.
func (b *harness) crashServer(c quarantine.Fingerprint) {
	b.t.Helper()
	r := b.requestWith(c)
	b.sent(b.arrive(r))
	r.Attempts = 1
	b.m.requests[r.ID].Attempts = 1
	b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
	b.advance(5 * time.Second) // others are there meanwhile
}

// TestThirdCrashIsTheLast has servers crash under one content: its third crash ends the
// request, though it has attempts left, and who asks for it again is refused at once.
// Requests of other contents are sent.
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
	require.True(t, ok, "no further server: %v", cmds)
	require.Equal(t, ReasonQuarantined, failed.Reason)
	began, ok := findCmd[QuarantineCmd](cmds)
	require.True(t, ok)
	require.Equal(t, quarantine.Change{Fingerprint: crashingFingerprint, Barred: true, Crashes: 3}, began.Change)

	refused, ok := findCmd[RefuseCmd](b.arrive(b.requestWith(crashingFingerprint)))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, refused.Reason)
	require.Equal(t, quarantine.Retention, refused.RetryAfter)
	b.sent(b.arrive(b.requestWith(crashingFingerprint + 1)))
	b.sent(b.arrive(b.requestWith(0)))
}

// TestBrokenConnectionIsNoCrash has attempts break off at servers that live, or of which
// nobody knows: that blames nobody.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	for _, probed := range []ProbeResultMsg{{Reached: true}, {}, {RouterLate: true}} {
		b := newHarness(t, 8)
		for range 4 {
			r := b.requestWith(crashingFingerprint)
			b.sent(b.arrive(r))
			b.breakAttempt(r.ID, probed)
			b.advance(5 * time.Second)
		}
		require.Zero(t, b.m.suspects.Crashes(crashingFingerprint))
	}
}

// TestEndingServerIsProbedAgain has a server that ends break its connections off before it stops
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

// TestSettledRequestIsNotBlamed has a server crash under a request that it has worked on for
// long, and under one that has just begun.
func TestLongRunningRequestIsNotSuspected(t *testing.T) {
	for settled, crashes := range map[time.Duration]int{clearedAfter: 0, clearedAfter - TickInterval: 1} {
		b := newHarness(t, 2)
		r := b.requestWith(crashingFingerprint)
		b.sent(b.arrive(r))
		b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
		b.advance(settled)
		b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
		require.Equal(t, crashes, b.m.suspects.Crashes(crashingFingerprint))
		b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
		b.end(r.ID, Done, false)
		require.Zero(t, b.m.suspects.Crashes(crashingFingerprint), "it was answered elsewhere")
	}
}

// TestAllThatBrokeOffAreBlamed has a server crash with several requests: one probe tells of
// all, also of those that are looked at after it.
func TestAllBrokenAttemptsAreSuspected(t *testing.T) {
	b := newHarness(t, 1)
	var all []Request
	for i := range quarantine.Fingerprint(3) {
		r := b.requestWith(crashingFingerprint + i)
		r.Attempts = 1
		b.sent(b.arrive(r))
		all = append(all, r)
	}
	probe, ok := findCmd[ProbeCmd](b.end(all[0].ID, Broken, true))
	require.True(t, ok)
	_, ok = findCmd[ProbeCmd](b.end(all[1].ID, Broken, true))
	require.False(t, ok, "one probe is enough")
	crashed, ok := findCmd[CrashCmd](b.m.Update(ProbeResultMsg{Now: b.now, Server: probe.Server.ID, ConnRefused: true}))
	require.True(t, ok)
	require.Len(t, crashed.Suspects, 2)
	_, ok = findCmd[ProbeCmd](b.end(all[2].ID, Broken, true))
	require.False(t, ok)
	for i := range quarantine.Fingerprint(3) {
		require.Equal(t, 1, b.m.suspects.Crashes(crashingFingerprint+i))
	}
}

// TestQuarantineReachesAllRouters has servers crash at one router: another one refuses what
// crashes them, also a request that waits in its queue.
func TestQuarantineReachesAllRouters(t *testing.T) {
	reporter, receiver := newHarness(t, 8), newHarness(t, 1)
	for range quarantine.CrashThreshold {
		reporter.crashServer(crashingFingerprint)
	}
	for range 60 { // its server is busy
		receiver.arrive(receiver.requestWith(1))
	}
	queued := receiver.requestWith(crashingFingerprint)
	require.Empty(t, receiver.arrive(queued), "it waits")
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

// TestCrashesAreToldAtOnce has servers crash at one router, which tells of the second and the third
// crash without waiting for its next heartbeat, as does another router that hears of the third: copies
// of a request ended four servers more at routers that were not yet told.
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

// TestAttemptGivenUpIsBlamed has a server crash after the attempt at it was given up: as it said
// nothing in good time, which is found out by a probe, or as the caller left, which is no
// reason for one, but counts when others break off with the server.
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

// TestCallersThatLeftLongAgo are not blamed for what a server does later.
func TestOldAbandonedAttemptsAreNotSuspected(t *testing.T) {
	b := newHarness(t, 1)
	for i := range maxAbandoned + 10 {
		r := b.requestWith(crashingFingerprint + quarantine.Fingerprint(i))
		b.sent(b.arrive(r))
		b.end(r.ID, GivenUp, false)
	}
	require.Len(t, b.m.byServer["e0"].blamed.abandoned, maxAbandoned)
	b.advance(crashWindow + TickInterval)
	r := b.requestWith(crashingFingerprint + 1000)
	b.sent(b.arrive(r))
	b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
	require.Equal(t, 1, b.m.suspects.Crashes(crashingFingerprint+1000))
	require.Zero(t, b.m.suspects.Crashes(crashingFingerprint))
}
