package direct

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// partRequest returns a request with the given shared parts that is unlike all others.
func (h *harness) partRequest(shared ...uint64) Request {
	parts := make([]PromptPart, 0, len(shared)+1)
	for _, id := range shared {
		parts = append(parts, PromptPart{ID: id, Tokens: 100})
	}
	r := h.request("red", append(parts, PromptPart{ID: 1<<40 + uint64(h.lastID), Tokens: 100})...)
	r.Fingerprint = crashingFingerprint + quarantine.Fingerprint(h.lastID)
	return r
}

// crashPart crashes a server under each of n requests with a part, some time after a request with
// other parts had a whole response.
func (h *harness) crashPart(n int, shared ...uint64) {
	h.t.Helper()
	whole := h.partRequest(partMiddle)
	h.sent(h.arrive(whole))
	h.m.Update(FirstEventMsg{Now: h.now, ID: whole.ID, Streaming: true})
	h.end(whole.ID, Done, false)
	h.advance(2 * time.Second)
	for range n {
		r := h.partRequest(shared...)
		r.Attempts = 1
		h.sent(h.arrive(r))
		h.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
		h.advance(2 * time.Second) // the same server may crash again
	}
}

// TestBarredPartIsRefused checks that requests with a barred part are refused when they arrive, before
// their body is read, and that others are sent.
func TestBarredPartIsRefused(t *testing.T) {
	h := newHarness(t, 12)
	h.crashPart(3, partCommon, partDeadly)
	r := h.partRequest(partCommon, partDeadly)
	refused, ok := findCmd[RefuseCmd](h.arrive(r))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, refused.Reason)
	refused, ok = findCmd[RefuseCmd](h.m.Update(AdmissionCheckMsg{Now: h.now, Request: h.partRequest(partCommon, partDeadly)}))
	require.True(t, ok, "before the body is read")
	require.Equal(t, ReasonQuarantined, refused.Reason)
	h.sent(h.arrive(h.partRequest(partSeldom)))
	last := h.partRequest(partSeldom)
	last.Parts[1].ID = partDeadly
	h.sent(h.arrive(last))
}

// TestThirdCrashIsNotRetried breaks the attempt of a request one of whose parts would be barred by
// another crash. It is not retried, even before its server is known to have crashed.
func TestThirdCrashIsNotRetried(t *testing.T) {
	h := newHarness(t, 12)
	h.crashPart(2, partDeadly)
	r := h.partRequest(partDeadly)
	h.sent(h.arrive(r))
	failed, ok := findCmd[FailCmd](h.end(r.ID, Broken, true))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, failed.Reason)
}

// TestWaitingRequestsWithBarredPartAreRefused bars a part while requests with it wait for a server.
func TestWaitingRequestsWithBarredPartAreRefused(t *testing.T) {
	h := newHarness(t, 1)
	running := h.partRequest(partDeadly)
	h.sent(h.arrive(running))
	h.m.byServer["e0"].fullUntil = h.now + time.Hour
	waiting := h.partRequest(partDeadly)
	require.Empty(t, h.arrive(waiting))
	cmds := append([]Cmd(nil), h.m.Update(PeerReportMsg{Now: h.now, Peer: "b", Report: Report{PartSuspects: []quarantine.Report{crashedThrice(partDeadly)}}})...)
	abort, ok := findCmd[AbortCmd](cmds)
	require.True(t, ok, "no server has begun to run it")
	require.Equal(t, running.ID, abort.ID)
	refused, ok := findCmd[RefuseCmd](h.advance(TickInterval))
	require.True(t, ok)
	require.Equal(t, RefuseCmd{ID: waiting.ID, Reason: ReasonQuarantined, RetryAfter: time.Second}, refused)
	require.True(t, h.m.ShouldWithhold(h.now, running.ID))
	cmds = h.end(running.ID, Broken, true)
	failed, ok := findCmd[FailCmd](cmds)
	require.True(t, ok, "it may have run")
	require.Equal(t, ReasonQuarantined, failed.Reason)
	_, ok = findCmd[ProbeCmd](cmds)
	require.False(t, ok, "the router itself has ended the attempt")
	require.Zero(t, h.m.byServer["e0"].failureStreak)
}

// crashedThrice returns another router's report of three crashes under a part.
func crashedThrice(part uint64) quarantine.Report {
	r := quarantine.Report{Content: quarantine.PartFingerprint(part), Grave: true, Established: true}
	for i := range uint16(3) {
		r.Crashes = append(r.Crashes, quarantine.CrashReport{Server: quarantine.Server(1000 + uint32(i)), Hall: i, Request: i})
	}
	return r
}

// TestBegunRequestsAreNotAborted bars parts while requests with them run, one of which has had its
// first event, and one whose part has had whole responses.
func TestBegunRequestsAreNotAborted(t *testing.T) {
	h := newHarness(t, 4)
	begun := h.partRequest(partDeadly)
	h.sent(h.arrive(begun))
	h.m.Update(FirstEventMsg{Now: h.now, ID: begun.ID, Streaming: true})
	_, ok := findCmd[AbortCmd](h.m.Update(PeerReportMsg{Now: h.now, Peer: "b", Report: Report{PartSuspects: []quarantine.Report{crashedThrice(partDeadly)}}}))
	require.False(t, ok)
	require.True(t, h.m.partSuspects.IsBarred(quarantine.PartFingerprint(partDeadly)))
	h.advance(time.Second)
	h.m.Update(TickMsg{Now: h.now})
	require.False(t, h.m.partSuspects.IsBarred(quarantine.PartFingerprint(partDeadly)), "it has run for a second")
}

// TestUnframedResponseIsNoProof ends responses with their connections. They clear their parts once a
// probe has reached the server some time later. If the server has crashed, they are suspects.
func TestUnframedResponseIsNoProof(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		h := newHarness(t, 12)
		h.crashPart(2, partDeadly)
		r := h.partRequest(partDeadly)
		h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
		h.m.Update(AttemptEndMsg{Now: h.now, ID: r.ID, Outcome: Done, Unframed: true})
		require.Equal(t, 2, h.m.partSuspects.Crashes(quarantine.PartFingerprint(partDeadly)))
		probe, ok := findCmd[ProbeCmd](h.advance(reprobeDelay + TickInterval))
		require.True(t, ok)
		h.m.Update(ProbeResultMsg{Now: h.now, Server: probe.Server.ID, Reached: !crashed, ConnRefused: crashed})
		require.Equal(t, crashed, h.m.partSuspects.IsBarred(quarantine.PartFingerprint(partDeadly)))
		if !crashed {
			require.Zero(t, h.m.partSuspects.Crashes(quarantine.PartFingerprint(partDeadly)))
		}
	}
}

// TestKnownUnframedResponsesAreNotProbed ends responses with their connections while nothing crashes
// and all their parts have had whole responses.
func TestKnownUnframedResponsesAreNotProbed(t *testing.T) {
	h := newHarness(t, 12)
	for i := range 3 {
		r := h.partRequest(partCommon)
		h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
		h.m.Update(AttemptEndMsg{Now: h.now, ID: r.ID, Outcome: Done, Unframed: i > 0})
		_, ok := findCmd[ProbeCmd](h.advance(2 * reprobeDelay))
		require.False(t, ok)
	}
}

// TestReleasedPartIsServed releases a part by deleting its record.
func TestReleasedPartIsServed(t *testing.T) {
	h := newHarness(t, 12)
	h.crashPart(3, partDeadly)
	part := quarantine.PartFingerprint(partDeadly)
	add, _ := h.m.PendingRecords(quarantine.Part)
	require.Equal(t, []quarantine.Fingerprint{part}, add)
	h.m.Update(QuarantineMsg{Now: h.now, Kind: quarantine.Part, Fingerprints: add})
	h.advance(time.Second)
	changed, ok := findCmd[QuarantineCmd](h.m.Update(QuarantineMsg{Now: h.now, Kind: quarantine.Part}))
	require.True(t, ok)
	require.False(t, changed.Change.Barred)
	h.sent(h.arrive(h.partRequest(partDeadly)))
}

// TestHiddenPartIsRefused sends a barred part behind thousands of others.
func TestHiddenPartIsRefused(t *testing.T) {
	h := newHarness(t, 12)
	h.crashPart(3, partDeadly)
	shared := make([]uint64, 0, 3001)
	for id := range uint64(3000) {
		shared = append(shared, 1<<20+id)
	}
	refused, ok := findCmd[RefuseCmd](h.arrive(h.partRequest(append(shared, partDeadly)...)))
	require.True(t, ok)
	require.Equal(t, ReasonQuarantined, refused.Reason)
}
