package gateway

import (
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// backupRetryInterval is the time after which a backup is asked for again if there was none
	// or it ended without taking over.
	backupRetryInterval = 200 * time.Millisecond
	// overlapCheckInterval is the time between two checks of a backup whose response has not
	// begun.
	overlapCheckInterval = 150 * time.Millisecond
	// minOverlapChecks is the number of checks before a backup may take over without a response.
	// Two servers must not work on a request at once for longer than 400 ms.
	minOverlapChecks = 2
	// maxOverlapChecks is the number of checks after which a backup is given up whose server is
	// silent as well.
	maxOverlapChecks = 8
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
	backup    *backup       // nil: none is running
	tookOver  bool          // the backup has replaced the attempt
	silentFor time.Duration // before the backup took over; 0: none has
}

// backup is a running backup attempt.
type backup struct {
	attempt  *attempt
	commands <-chan direct.Cmd
	result   startResult   // valid once ended is closed
	ended    chan struct{} // closed when the first part of the attempt has ended
	checks   int           // of the overlap
	received uint64        // reads from the server, at the first check of the overlap
}

// enable makes the watch effective, also if it has been armed before.
func (w *silenceWatch) enable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enabled = true
	if w.armed {
		w.setTimer(w.timeout)
	}
}

// arm starts the watch before a read from the server. A timeout of 0 sets no limit.
func (w *silenceWatch) arm(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.timeout = timeout > 0, timeout
	w.armedAt = w.now()
	if w.armed && w.enabled {
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

// disarm ends the watch after a read from the server. It cancels a backup that has not taken over if o is
// Done. Otherwise the attempt ends with that outcome and the backup takes over. It returns the backup that
// has taken over, or nil.
func (w *silenceWatch) disarm(o direct.Outcome) *backup {
	w.mu.Lock()
	w.armed = false
	b := w.backup
	if b != nil && !w.tookOver {
		if o == direct.Done || w.primary.hasEnded() {
			b.attempt.cancel()
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

// expire is called when the server has been silent for too long. It runs a backup if the machine has
// a server for it.
func (w *silenceWatch) expire() {
	b := w.startBackup()
	if b == nil {
		return
	}
	b.result = b.attempt.start()
	w.endStart(b)
}

// startBackup asks the machine for a backup. It returns nil if there is none.
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
	if a.conn != nil && socket.Peek(a.conn.Conn) == socket.Readable {
		// This process is late, not the server.
		w.setTimer(backupRetryInterval)
		return nil
	}
	cmd, commands := a.x.front.core.submitBackup(a.id)
	send, ok := cmd.(direct.SendCmd)
	if !ok {
		w.declined = cmd.(direct.RefuseCmd).Reason
		w.setTimer(backupRetryInterval)
		return nil
	}
	b := &backup{attempt: newAttempt(a.x, send), commands: commands, ended: make(chan struct{})}
	b.attempt.isBackup = true
	w.backup, w.declined = b, ""
	time.AfterFunc(overlapCheckInterval, func() { w.checkOverlap(b) })
	return b
}

// endStart is called when the first part of a backup has ended.
func (w *silenceWatch) endStart(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(b.ended)
	if b.result.begun && w.armed && !w.tookOver {
		w.takeOver(direct.Hung)
	}
	if w.tookOver {
		return
	}
	b.attempt.abandon(b.result)
	w.backup = nil
	if w.armed {
		w.setTimer(backupRetryInterval)
	}
}

// takeOver makes the backup replace the attempt, which ends with the given outcome. w.mu is held.
func (w *silenceWatch) takeOver(o direct.Outcome) {
	w.tookOver = true
	w.silentFor = w.now() - w.armedAt
	core := w.primary.x.front.core
	core.Update(direct.TakeOverMsg{Now: w.now(), ID: w.backup.attempt.id, Outcome: o, RouterLate: core.pressure.Slow()})
	w.primary.conn.Close() // ends the read from the silent server
	w.backup.attempt.watch.enable()
}

// checkOverlap decides what happens to a backup whose response has not begun. Its server has the
// request if it sends other responses and has not declined this one: then the backup takes over, as
// two servers must not work on the request for long. If its server is silent as well, the backup
// waits, and is given up in the end.
func (w *silenceWatch) checkOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || w.backup != b || w.tookOver {
		return
	}
	received := w.primary.x.front.pool.Received(b.attempt.cmd.Server.Address)
	if b.checks == 0 {
		b.received = received
	}
	b.checks++
	switch {
	case b.checks >= minOverlapChecks && received != b.received:
		w.takeOver(direct.Hung)
	case b.checks >= maxOverlapChecks:
		b.attempt.cancel()
	default:
		time.AfterFunc(overlapCheckInterval, func() { w.checkOverlap(b) })
	}
}

// abandon ends a backup that has not taken over.
func (a *attempt) abandon(begun startResult) {
	outcome := begun.outcome
	if begun.begun || outcome.MayHaveRun() && a.hasEnded() {
		outcome = direct.GivenUp
	}
	if begun.begun {
		a.conn.Close()
	}
	a.finish()
	core := a.x.front.core
	core.Update(direct.AttemptEndMsg{
		Now: core.Now(), ID: a.id, Outcome: outcome, ConnRefused: a.connRefused, RouterLate: a.dialOverdue || core.pressure.Slow(),
	})
	core.removeWaiter(a.id)
	a.x.front.stats.Attempt(outcome, core.Now()-a.startedAt)
	a.x.front.logBackup(a, outcome)
}
