package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// backup asks for a backup of a request and returns the backup's ID with the answer.
func (h *harness) backup(of RequestID) (RequestID, []Cmd) {
	h.lastID++
	id := h.lastID
	return id, append([]Cmd(nil), h.m.Update(BackupMsg{Now: h.now, ID: id, Of: of})...)
}

// requireNoBackup requires that a backup is refused for a reason, and that the request still runs.
func (h *harness) requireNoBackup(of RequestID, reason Reason) {
	h.t.Helper()
	id, cmds := h.backup(of)
	refused, ok := findCmd[RefuseCmd](cmds)
	require.True(h.t, ok, "%v", cmds)
	require.Equal(h.t, id, refused.ID)
	require.Equal(h.t, reason, refused.Reason)
	require.Len(h.t, cmds, 1)
	require.NotNil(h.t, h.m.requests[of].currentServer)
}

// running returns the number of requests that the machine counts at its servers.
func (h *harness) running() int {
	n := 0
	for _, s := range h.m.byServer {
		n += s.running
	}
	return n
}

// TestSilentServerKeepsItsRequest guards against a request that is given up at a silent server before another
// has taken it: until then both attempts count, and the end of the backup leaves the first one alone.
func TestSilentServerKeepsItsRequest(t *testing.T) {
	for _, o := range []Outcome{Unsent, Withheld, NotRun, Elsewhere, Failed, Broken, GivenUp} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, 3)
			r := h.request("red")
			r.Attempts = 3
			first := h.sent(h.arrive(r))
			h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
			id, cmds := h.backup(r.ID)
			second := h.sent(cmds)
			require.NotEqual(t, first, second)
			require.Equal(t, 2, h.running())

			for _, c := range h.end(id, o, true) {
				require.IsType(t, ServerStatusCmd{}, c, "a backup is not retried by itself")
			}
			require.Equal(t, 1, h.running())
			require.Equal(t, first, h.m.requests[r.ID].currentServer.ID)
			h.advance(time.Second) // past the pause of a server that was full or could not be reached
			_, cmds = h.backup(r.ID)
			third := h.sent(cmds)
			require.NotEqual(t, first, third)
			if o == Elsewhere || o == Failed || o == Broken {
				require.NotEqual(t, second, third)
			}
			h.end(r.ID, Done, false)
		})
	}
}

// TestBackupTakesOver verifies that a backup stands for the request once it has taken over: it is charged to the
// team once, its failure is retried, and its own server may fall silent.
func TestBackupTakesOver(t *testing.T) {
	h := newHarness(t, 4)
	r := h.request("red")
	r.Attempts = 4
	h.arrive(r)
	charged := h.m.team("red").served.value
	id, _ := h.backup(r.ID)
	h.m.Update(TakeOverMsg{Now: h.now, ID: id, Outcome: Hung})
	require.Equal(t, 1, h.running())
	require.NotContains(t, h.m.requests, r.ID)
	require.InDelta(t, charged, h.m.team("red").served.value, 1e-6)
	h.m.Update(FirstEventMsg{Now: h.now, ID: id, Streaming: true})

	next, cmds := h.backup(id)
	h.sent(cmds)
	h.m.Update(TakeOverMsg{Now: h.now, ID: next, Outcome: Broken})
	retried, ok := findCmd[SendCmd](h.end(next, Broken, true))
	require.True(t, ok)
	require.Equal(t, next, retried.ID)
	require.Equal(t, 4, retried.Attempt)
	h.end(next, Done, false)
	require.Zero(t, h.running())
	require.Empty(t, h.m.requests)
	require.InDelta(t, charged, h.m.team("red").served.value, 1e-6)
}

// TestNoBackup verifies why a request stays at its silent server.
func TestNoBackup(t *testing.T) {
	begin := func(h *harness, edit func(*Request)) RequestID {
		r := h.request("red")
		edit(&r)
		h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
		return r.ID
	}
	t.Run("at most once", func(t *testing.T) {
		h := newHarness(t, 2)
		h.requireNoBackup(begin(h, func(r *Request) { r.MayRepeat = false }), ReasonAtMostOnce)
	})
	t.Run("attempts", func(t *testing.T) {
		h := newHarness(t, 2)
		h.requireNoBackup(begin(h, func(r *Request) { r.Attempts = 1 }), ReasonAttempts)
	})
	t.Run("retry budget", func(t *testing.T) {
		h := newHarness(t, 2)
		h.m.Update(RetryBudgetMsg{RetryBudget: RetryBudgetOptions{Window: 10 * time.Second}})
		h.requireNoBackup(begin(h, func(*Request) {}), ReasonRetryBudget)
	})
	t.Run("the last server of its version", func(t *testing.T) {
		h := newVersionHarness(t, 1, "v1", "v2")
		h.requireNoBackup(begin(h, func(*Request) {}), ReasonVersion)
	})
	t.Run("ended", func(t *testing.T) {
		h := newHarness(t, 2)
		_, cmds := h.backup(12345)
		refused, ok := findCmd[RefuseCmd](cmds)
		require.True(t, ok)
		require.Equal(t, ReasonEnded, refused.Reason)
	})
}

// TestRefusedBackupsSpendNothing verifies that a backup for which there is no server spends no retry, and that a
// declined one spends a retry but no attempt.
func TestRefusedBackupsSpendNothing(t *testing.T) {
	h := newVersionHarness(t, 1, "v1", "v2")
	h.m.Update(RetryBudgetMsg{RetryBudget: RetryBudgetOptions{Slack: 3, Window: 10 * time.Second}})
	stuck := h.request("red")
	h.begin(stuck)
	for range 10 {
		h.requireNoBackup(stuck.ID, ReasonVersion)
	}
	h.list(versionDirectory(3, 4, "v1", "v2"))
	for range 2 { // of a budget of 3, of which a margin is kept
		id, cmds := h.backup(stuck.ID)
		h.sent(cmds)
		h.end(id, NotRun, false)
	}
	require.Equal(t, 1, h.m.requests[stuck.ID].attempt)
	h.requireNoBackup(stuck.ID, ReasonRetryBudget)
}

// TestRunBackupIsNotRefused guards against a refusal that promises a request has not run, though a backup of it
// may have: the first server declines after the backup was canceled.
func TestRunBackupIsNotRefused(t *testing.T) {
	for _, o := range []Outcome{Failed, Broken, GivenUp} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, 2)
			r := h.request("red")
			r.Attempts = 2
			h.sent(h.arrive(r))
			id, cmds := h.backup(r.ID)
			h.sent(cmds)
			h.end(id, o, false)
			cmds = h.end(r.ID, NotRun, true)
			_, refused := findCmd[RefuseCmd](cmds)
			require.False(t, refused, "%v", cmds)
			if waiting := h.m.requests[r.ID]; waiting != nil {
				require.True(t, waiting.mayHaveRun)
			}
		})
	}
}

// TestDeclinedRequestKeepsItsBackup verifies that a request which its first server declined goes on at its backup,
// and is refused only if no server has run it.
func TestDeclinedRequestKeepsItsBackup(t *testing.T) {
	for _, o := range []Outcome{NotRun, Elsewhere} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, 2)
			r := h.request("red")
			r.Attempts = 2
			h.sent(h.arrive(r))
			id, cmds := h.backup(r.ID)
			h.sent(cmds)
			h.m.Update(TakeOverMsg{Now: h.now, ID: id, Outcome: o})
			require.Equal(t, 1, h.running())
			_, refused := findCmd[RefuseCmd](h.end(id, NotRun, true))
			require.True(t, refused, "no server has run it")
		})
	}
}

// TestBackupGoesBeforeNewRequests guards against streams that stay at a dark server under load, since new requests
// take each slot that becomes free: a backup waits in the queue like a retry, for the time of one.
func TestBackupGoesBeforeNewRequests(t *testing.T) {
	h := newHarness(t, 2)
	var running []RequestID
	for range 96 {
		r := h.request("red")
		r.PromptTokens = 10
		h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
		running = append(running, r.ID)
	}
	silent := running[0]
	fresh := h.request("blue")
	fresh.PromptTokens, fresh.Priority = 10, 0
	require.Empty(t, h.arrive(fresh))
	id, cmds := h.backup(silent)
	require.Empty(t, cmds)
	for _, other := range running[1:] {
		if h.m.requests[other].currentServer != h.m.requests[silent].currentServer {
			sent, ok := findCmd[SendCmd](h.end(other, Done, false))
			require.True(t, ok)
			require.Equal(t, id, sent.ID)
			break
		}
	}
}

// TestBackupWaitsNoLongerThanARetry verifies that a backup without a slot is refused after the time of a retry in the
// queue, while its request runs on.
func TestBackupWaitsNoLongerThanARetry(t *testing.T) {
	h := newHarness(t, 1)
	r := h.request("red")
	h.sent(h.arrive(r))
	h.list(newDirectory(2, 2))
	for range 48 {
		other := h.request("red")
		other.PromptTokens = 10
		if _, sent := findCmd[SendCmd](h.arrive(other)); !sent {
			h.m.Update(CancelMsg{Now: h.now, ID: other.ID})
		}
		h.m.Update(FirstEventMsg{Now: h.now, ID: other.ID, Streaming: true})
	}
	for _, s := range h.m.byServer {
		s.peerLoad.Running = 48
	}
	id, cmds := h.backup(r.ID)
	require.Empty(t, cmds)
	refused, ok := findCmd[RefuseCmd](h.advance(maxWait(h.m.requests[r.ID]) + TickInterval))
	require.True(t, ok)
	require.Equal(t, id, refused.ID)
	require.Equal(t, ReasonOverload, refused.Reason)
	require.NotNil(t, h.m.requests[r.ID].currentServer)
}

// TestBackupsAvoidSilentServers verifies that no backup goes to a server of which another request waits in vain.
func TestBackupsAvoidSilentServers(t *testing.T) {
	h := newHarness(t, 3)
	first, second := h.request("red"), h.request("red")
	a := h.sent(h.arrive(first))
	b := h.sent(h.arrive(second))
	for a == b {
		second = h.request("red")
		b = h.sent(h.arrive(second))
	}
	id, cmds := h.backup(second.ID)
	h.sent(cmds)
	h.end(id, NotRun, false)
	h.now += 2 * defaultFullPause
	_, cmds = h.backup(first.ID)
	require.NotContains(t, []string{a, b}, h.sent(cmds))
}

// TestWitnessesShowWhoIsSilent verifies which servers tell whether a backup's server is silent as well.
func TestWitnessesShowWhoIsSilent(t *testing.T) {
	h := newHarness(t, 0)
	d := newDirectory(2, 3)
	for i := range d.Servers {
		d.Servers[i].Address = "address of " + d.Servers[i].ID
	}
	h.list(d)
	r := h.request("red")
	first := h.sent(h.arrive(r))
	id, cmds := h.backup(r.ID)
	second := h.sent(cmds)
	require.Empty(t, h.m.Witnesses(id), "nothing else runs")
	require.Equal(t, []string{"address of " + second}, h.m.Witnesses(r.ID))

	h.m.byServer[second].running++
	require.Equal(t, []string{"address of " + second}, h.m.Witnesses(id))
	h.m.byServer[second].running--
	for name, s := range h.m.byServer {
		if s.Service == "llm" && name != first && name != second {
			s.running++
			require.Equal(t, []string{s.Address}, h.m.Witnesses(id))
		}
	}
}

// TestRequestMayHaveRunAtItsBackup guards against a refusal, which promises that a request has not run, after a
// backup of it may have run.
func TestRequestMayHaveRunAtItsBackup(t *testing.T) {
	for _, o := range []Outcome{GivenUp, Broken, Failed} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, 2)
			r := h.request("red")
			r.Attempts = 2
			h.sent(h.arrive(r))
			id, cmds := h.backup(r.ID)
			h.sent(cmds)
			h.end(id, o, false)
			cmds = h.end(r.ID, NotRun, true)
			_, refused := findCmd[RefuseCmd](cmds)
			require.False(t, refused, "%v", cmds)
		})
	}
}

// TestDeclinedTakeOverUsesNoAttempt verifies that a request whose backup took over and was then declined may still
// go elsewhere: it has run at one server.
func TestDeclinedTakeOverUsesNoAttempt(t *testing.T) {
	h := newHarness(t, 3)
	r := h.request("red")
	r.Attempts = 2
	h.sent(h.arrive(r))
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
	id, cmds := h.backup(r.ID)
	h.sent(cmds)
	h.m.Update(TakeOverMsg{Now: h.now, ID: id, Outcome: Hung})
	cmds = h.end(id, NotRun, true)
	_, sent := findCmd[SendCmd](cmds)
	require.True(t, sent, "%v", cmds)
}

// TestDeclinedBackupMayComeAgain verifies that a server which declined a backup for a moment may get the request
// later: otherwise a request stays at a server that is dark for good once all others have declined.
func TestDeclinedBackupMayComeAgain(t *testing.T) {
	h := newHarness(t, 3)
	r := h.request("red")
	r.Attempts = 2
	h.sent(h.arrive(r))
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
	for range 2 { // both others are full for a moment
		id, cmds := h.backup(r.ID)
		h.sent(cmds)
		h.end(id, NotRun, false)
		h.now += 200 * time.Millisecond
	}
	h.now += time.Second
	_, cmds := h.backup(r.ID)
	_, sent := findCmd[SendCmd](cmds)
	require.True(t, sent, "%v", cmds)
}

// TestCanceledBackupLeavesARetry verifies that a stream whose server was silent for a moment can still go on
// elsewhere when that server crashes later. At the server of the canceled backup it has run already, so that going
// there again runs it at no further server.
func TestCanceledBackupLeavesARetry(t *testing.T) {
	h := newHarness(t, 2)
	r := h.request("red")
	r.Attempts = 2
	h.sent(h.arrive(r))
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
	id, cmds := h.backup(r.ID)
	h.sent(cmds)
	h.end(id, GivenUp, false) // the first server goes on
	h.now += 2 * time.Second
	cmds = h.end(r.ID, Broken, true)
	_, sent := findCmd[SendCmd](cmds)
	require.True(t, sent, "%v", cmds)
}

// TestUnsentTakeOverUsesNoAttempt guards against requests that fail as if they might have run, or that may not go on,
// since a server was silent before it got them: their backup is then the first server that runs them.
func TestUnsentTakeOverUsesNoAttempt(t *testing.T) {
	for _, o := range []Outcome{Hung, Broken} {
		h := newHarness(t, 3)
		r := h.request("red")
		r.Attempts = 2
		h.sent(h.arrive(r))
		id, cmds := h.backup(r.ID)
		h.sent(cmds)
		h.m.Update(TakeOverMsg{Now: h.now, ID: id, Outcome: o, NotSent: true})
		cmds = h.end(id, Broken, true)
		_, sent := findCmd[SendCmd](cmds)
		require.True(t, sent, "%v", cmds)

		h = newHarness(t, 2)
		r = h.request("red")
		h.sent(h.arrive(r))
		id, cmds = h.backup(r.ID)
		h.sent(cmds)
		h.m.Update(TakeOverMsg{Now: h.now, ID: id, Outcome: o, NotSent: true})
		h.end(id, Unsent, true)
		cmds = h.advance(r.Deadline)
		_, refused := findCmd[RefuseCmd](cmds)
		require.True(t, refused, "%v", cmds)
	}
}
