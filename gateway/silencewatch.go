package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// backupRetryInterval is the time after which a backup is asked for again if there was none
	// or it ended without taking over.
	backupRetryInterval = 200 * time.Millisecond
	// overlapCheckInterval is the time between two checks of a backup that has been sent and whose
	// response has not begun. It takes over or is given up at the third: two servers must not work on a
	// request at once for longer than 400 ms.
	overlapCheckInterval = 100 * time.Millisecond
	// commonSilenceInterval is the time between two checks whether other servers are silent as well, and
	// maxCommonSilence the longest time for which a backup is put off for that.
	commonSilenceInterval = 50 * time.Millisecond
	maxCommonSilence      = time.Second
)

// silenceWatch asks for a backup attempt when the server of an attempt has been silent for too long.
// Silence is no proof that the server has failed: the attempt goes on until the backup's server has
// begun to respond. Whichever of the two servers responds first keeps the request.
type silenceWatch struct {
	primary *attempt

	mu        sync.Mutex
	enabled   bool // the attempt is not itself a backup
	armed     bool // the attempt waits for its server
	timeout   time.Duration
	timer     *time.Timer
	armedAt   time.Duration // when the server was last heard
	declined  direct.Reason // why there was no backup when it was last asked for
	backup    *backup       // nil: there is none
	tookOver  bool          // the backup has replaced the attempt
	silentFor time.Duration // before the backup took over; 0: none has
}

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

// enable makes the watch effective, also if it has been armed before.
func (w *silenceWatch) enable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enabled = true
	if w.armed && w.timeout > 0 {
		w.setTimer(w.timeout)
	}
}

// arm starts the watch before a read from the server, or goes on with it if the last read made no
// progress. A timeout of 0 sets no limit, but a running backup goes on.
func (w *silenceWatch) arm(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.timeout = timeout > 0 || w.backup != nil, timeout
	w.armedAt = w.now()
	if timeout > 0 && w.enabled {
		w.setTimer(timeout)
	}
}

func (w *silenceWatch) now() time.Duration { return w.primary.x.front.core.Now() }

// setTimer schedules the next call of expire. w.mu is held.
func (w *silenceWatch) setTimer(d time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// isEnabled reports whether the attempt is the request's own, and no backup.
func (w *silenceWatch) isEnabled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.enabled
}

// disarm ends the watch after a read from the server. It cancels a backup that has not taken over if o is
// Done, or if it still waits in the queue. Otherwise the attempt ends with that outcome and the backup takes
// over. It returns the backup that has taken over, or nil.
func (w *silenceWatch) disarm(o direct.Outcome) *backup {
	w.mu.Lock()
	w.armed = false
	b := w.backup
	if b != nil && !w.tookOver {
		if o == direct.Done || w.primary.hasEnded() || b.attempt == nil {
			b.cancel()
		} else {
			w.takeOver(o)
		}
	}
	tookOver := w.tookOver
	w.mu.Unlock()
	if b == nil {
		return nil
	}
	<-b.ended
	if !tookOver {
		return nil
	}
	return b
}

// stop ends the watch for good.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// state returns how long the server was silent before a backup took over, and why there was no backup
// when it was last asked for.
func (w *silenceWatch) state() (silentFor time.Duration, declined direct.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silentFor, w.declined
}

// expire is called when the server has been silent for too long. It runs a backup.
func (w *silenceWatch) expire() {
	b := w.startBackup()
	if b == nil || !w.awaitServer(b) {
		return
	}
	b.result = w.run(b)
	w.endStart(b)
}

// startBackup asks the machine for a backup. It returns nil if none is needed.
func (w *silenceWatch) startBackup() *backup {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || !w.enabled || w.backup != nil || w.tookOver {
		return nil
	}
	if silent := w.now() - w.armedAt; silent < w.timeout {
		w.setTimer(w.timeout - silent)
		return nil
	}
	a := w.primary
	if socket.Peek(a.conn.Conn) == socket.Readable {
		// This process is late, not the server.
		w.setTimer(backupRetryInterval)
		return nil
	}
	if w.isCommonSilence() {
		w.setTimer(commonSilenceInterval)
		return nil
	}
	b := &backup{ended: make(chan struct{})}
	b.ctx, b.cancel = context.WithCancel(a.x.ctx)
	b.id, b.commands = a.x.front.core.submitBackup(a.id)
	w.backup = b
	return b
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
			result = failedStart(direct.Broken)
		}
	}()
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

// takeOver makes the backup replace the attempt, which ends with the given outcome. w.mu is held.
func (w *silenceWatch) takeOver(o direct.Outcome) {
	w.tookOver = true
	w.silentFor = w.now() - w.armedAt
	core := w.primary.x.front.core
	core.Update(direct.TakeOverMsg{Now: w.now(), ID: w.backup.id, Outcome: o, RouterLate: core.pressure.Slow()})
	w.primary.conn.Close() // ends the read from the silent server
	w.backup.attempt.watch.enable()
}

// beginOverlap is the first check of a backup whose response has not begun.
func (w *silenceWatch) beginOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isRunning(b) {
		return
	}
	b.witnesses = w.primary.x.front.core.witnesses(b.id)
	b.checkedAt = w.now()
	time.AfterFunc(overlapCheckInterval, func() { w.checkOverlap(b) })
}

// checkOverlap is the second check. What a silence that has just ended held back arrives before the third.
func (w *silenceWatch) checkOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isRunning(b) {
		return
	}
	b.heard = len(b.witnesses) == 0 || w.anyProgress(b.witnesses, b.checkedAt)
	time.AfterFunc(overlapCheckInterval, func() { w.endOverlap(b) })
}

// endOverlap decides which of two servers keeps the request if neither has responded. If other responses
// have arrived, only the first server is silent, and the backup takes over: its server has not declined the
// request. If none has, the backup's server is silent too, and the backup is given up.
func (w *silenceWatch) endOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.isRunning(b):
	case socket.Peek(w.primary.conn.Conn) == socket.Readable: // the first server may be responding
		time.AfterFunc(overlapCheckInterval, func() { w.endOverlap(b) })
	case b.heard:
		w.takeOver(direct.Hung)
	default:
		b.cancel()
	}
}

// isRunning reports whether a backup runs and has not taken over. w.mu is held.
func (w *silenceWatch) isRunning(b *backup) bool { return w.armed && w.backup == b && !w.tookOver }

// isCommonSilence reports whether no other server that should send responses has sent anything since this
// one was last heard. A backup would only add to what they have to do. w.mu is held.
func (w *silenceWatch) isCommonSilence() bool {
	if w.now()-w.armedAt > w.timeout+maxCommonSilence {
		return false
	}
	witnesses := w.primary.x.front.core.witnesses(w.primary.id)
	return len(witnesses) > 0 && !w.anyProgress(witnesses, w.armedAt)
}

// anyProgress reports whether any of the servers has made progress with a response after a point in time.
func (w *silenceWatch) anyProgress(addresses []string, since time.Duration) bool {
	return slices.ContainsFunc(addresses, func(address string) bool {
		return w.primary.x.front.pool.ProgressSince(address, since)
	})
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
