package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDeclinedAttemptBehindBackupCountsForNothing: a retry that was declined after its backup had been sent uses up
// no attempt, as it does without a backup.
func TestDeclinedAttemptBehindBackupCountsForNothing(t *testing.T) {
	for _, withBackup := range []bool{false, true} {
		h := newHarness(t, 5)
		r := h.request("red")
		r.Attempts = 3
		h.arrive(r)
		h.sent(h.end(r.ID, Broken, true)) // the second server
		id := r.ID
		if withBackup {
			var cmds []Cmd
			id, cmds = h.backup(r.ID)
			h.sent(cmds)
			h.m.Update(TakeOverMsg{Now: h.now, ID: id, Outcome: NotRun})
		} else {
			h.sent(h.end(r.ID, NotRun, true))
		}
		_, ok := findCmd[SendCmd](h.end(id, Broken, true))
		require.True(t, ok, "two servers have run the request, and three may; backup: %v", withBackup)
	}
}

// TestUnsentBackupSpendsNoRetry: as an unsent retry, a backup that reached no server spends no second retry.
func TestUnsentBackupSpendsNoRetry(t *testing.T) {
	for _, o := range []Outcome{Unsent, Withheld} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, 4)
			r := h.request("red")
			r.Attempts = 3
			h.arrive(r)
			h.m.Update(RetryBudgetMsg{RetryBudget: RetryBudgetOptions{Slack: 1.3, Window: 10 * time.Second}})
			id, cmds := h.backup(r.ID)
			h.sent(cmds)
			h.end(id, o, false)
			_, cmds = h.backup(r.ID)
			_, ok := findCmd[SendCmd](cmds)
			require.True(t, ok, "no server has got anything: %v", cmds)
		})
	}
}

// TestDeclinedRetryAtSpareServerIsNoFurtherServer guards against a request that runs on more servers than Attempts:
// a send to a spare server counts as no attempt, so that it must not be taken off either.
func TestDeclinedRetryAtSpareServerIsNoFurtherServer(t *testing.T) {
	for _, o := range []Outcome{NotRun, Elsewhere, Unsent, Withheld} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, 3)
			r := h.request("red")
			r.Attempts = 2
			first := h.sent(h.arrive(r))
			id, cmds := h.backup(r.ID)
			second := h.sent(cmds)
			h.end(id, GivenUp, false) // the first server went on; the second may have run the request
			spare := h.sent(h.end(r.ID, Broken, true))
			require.Equal(t, second, spare)
			third, ok := findCmd[SendCmd](h.end(r.ID, o, true))
			if ok && third.Server.ID != second {
				t.Fatalf("sent to %s, after %s and %s may have run it; Attempts is 2", third.Server.ID, first, second)
			}
		})
	}
}

// TestBackupsLeavePlacesInTheQueue guards against new requests that are refused to make room for backups, which nobody
// waits for: the first attempt goes on.
func TestBackupsLeavePlacesInTheQueue(t *testing.T) {
	h := newHarness(t, 2)
	var running []RequestID
	for range 400 {
		r := h.request("red")
		r.Attempts = 2
		if _, ok := findCmd[SendCmd](h.arrive(r)); !ok {
			break
		}
		running = append(running, r.ID)
	}
	t.Logf("%d running", len(running))
	waiting := h.request("blue")
	waiting.Attempts = 2
	h.arrive(waiting)
	p := h.m.requests[waiting.ID]
	t.Logf("the new request waits: %v", p != nil && p.waiting)
	for _, id := range running {
		_, cmds := h.backup(id)
		for _, c := range cmds {
			if refused, ok := c.(RefuseCmd); ok && refused.ID == waiting.ID {
				t.Fatalf("refused (%s) to make room for a backup", refused.Reason)
			}
		}
	}
}

// TestBackupAvoidsSilentServerAsLastResort: a backup goes to no server that seems silent, also if that is ejected and
// the last one of the stream's version.
func TestBackupAvoidsSilentServerAsLastResort(t *testing.T) {
	h := newVersionHarness(t, 2, "v1", "v2")
	r := h.request("red")
	r.Attempts = 3
	first := h.sent(h.arrive(r))
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
	version := h.m.byServer[first].Version
	for id, s := range h.m.byServer {
		if id != first && s.Version == version {
			s.silentAt = h.now
			s.ejectedUntil = h.now + time.Second
		}
	}
	h.now += 10 * time.Millisecond
	_, cmds := h.backup(r.ID)
	if c, ok := findCmd[SendCmd](cmds); ok {
		t.Fatalf("sent to %s, which is silent and ejected", c.Server.ID)
	}
}
