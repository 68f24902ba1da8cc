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
			_, cmds = h.backup(r.ID)
			require.NotContains(t, []string{first, second}, h.sent(cmds))
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
	t.Run("all servers full", func(t *testing.T) {
		h := newHarness(t, 2)
		var last RequestID
		for range 96 {
			last = begin(h, func(r *Request) { r.PromptTokens = 10 })
		}
		h.requireNoBackup(last, ReasonOverload)
		require.Equal(t, 96, h.running())
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
