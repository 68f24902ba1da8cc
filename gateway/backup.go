package gateway

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// backup is a backup attempt that waits in the queue or runs.
type backup struct {
	id       direct.RequestID
	commands <-chan direct.Cmd
	ctx      context.Context // ends when the backup is canceled or the caller leaves
	cancel   context.CancelFunc
	attempt  *attempt      // nil: it waits in the queue
	result   startResult   // valid once ended is closed
	ended    chan struct{} // closed when the first part of the attempt has ended
	// witnesses are servers whose responses show whether the silence is that of one server. heard
	// reports that one of them sent something between the first check of the overlap and the second.
	witnesses []string
	checkedAt time.Duration
	heard     bool
}

// awaitServer waits until the machine has a server for a backup. It reports false if the backup has ended
// before.
func (w *silenceWatch) awaitServer(b *backup) bool {
	var cmd direct.Cmd
	select {
	case cmd = <-b.commands:
	case <-b.ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	core := w.primary.x.front.core
	switch cmd := cmd.(type) {
	case direct.SendCmd:
		w.declined = ""
		if b.ctx.Err() == nil {
			b.attempt = newAttempt(b.ctx, b.cancel, w.primary.x, cmd)
			return true
		}
		core.Update(direct.AttemptEndMsg{Now: core.Now(), ID: b.id, Outcome: direct.Withheld})
	case direct.RefuseCmd:
		w.declined = cmd.Reason
	default:
		core.cancelAs(b.id, b.commands, direct.Withheld)
	}
	w.drop(b)
	return false
}

// drop forgets a backup that has ended without taking over. w.mu is held.
func (w *silenceWatch) drop(b *backup) {
	w.primary.x.front.core.removeWaiter(b.id)
	b.cancel()
	w.backup = nil
	close(b.ended)
	if w.armed {
		w.setTimer(backupRetryInterval)
	}
}

// run sends a backup and reads the beginning of its response. A panic costs the backup only.
func (w *silenceWatch) run(b *backup) (result startResult) {
	defer func() {
		if cause := recover(); cause != nil {
			w.primary.x.front.recordPanic(w.primary.x.r, cause)
			b.attempt.closeConn()
			result = failedStart(direct.Broken)
		}
	}()
	w.primary.x.mayHaveRun.Store(true) // whatever the first server says
	outcome, sent := b.attempt.send()
	if !sent {
		return failedStart(outcome)
	}
	check := time.AfterFunc(overlapCheckInterval, func() { w.beginOverlap(b) })
	defer check.Stop()
	return b.attempt.awaitResponse()
}

// endStart is called when the first part of a backup has ended.
func (w *silenceWatch) endStart(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.result.begun && w.armed && !w.tookOver {
		w.takeOver(direct.Hung)
	}
	if w.tookOver {
		close(b.ended)
		return
	}
	b.attempt.abandon(b.result)
	w.drop(b)
}

// abandon ends a backup that has not taken over.
func (a *attempt) abandon(begun startResult) {
	outcome := begun.outcome
	switch {
	case begun.begun:
		outcome = direct.GivenUp
		a.conn.Close()
	case !a.hasEnded():
	case outcome == direct.Unsent:
		outcome = direct.Withheld // the connection was given up, which is no evidence about the server
	case outcome.MayHaveRun():
		outcome = direct.GivenUp
	}
	a.finish()
	core := a.x.front.core
	core.Update(direct.AttemptEndMsg{
		Now: core.Now(), ID: a.id, Outcome: outcome, ConnRefused: a.connRefused, RouterLate: a.dialOverdue || core.pressure.Slow(),
	})
	a.x.front.stats.Attempt(outcome, core.Now()-a.startedAt)
	a.x.front.logBackup(a, outcome)
}
