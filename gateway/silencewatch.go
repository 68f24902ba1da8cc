package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/internal/socket"
)

// backupRetryInterval is the time after which a backup is asked for again if there was none or it ended
// without taking over.
const backupRetryInterval = 200 * time.Millisecond

// maxTimerDelay is how late a timer may fire in a process that gets processor time.
const maxTimerDelay = 50 * time.Millisecond

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
	dueAt     time.Duration // when timer fires
	excused   bool          // a late timer has put a backup off since the watch was armed
	declined  direct.Reason // why there was no backup when it was last asked for
	backup    *backup       // nil: there is none
	tookOver  bool          // the backup has replaced the attempt
	sent      bool          // the server may have got the request, or a part of it
	sending   bool          // the request is being written, and nothing is read
	silentFor time.Duration // before the backup took over; 0: none has
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
	w.armed, w.timeout, w.excused = timeout > 0 || w.backup != nil, timeout, false
	w.armedAt = w.now()
	if timeout > 0 && w.enabled {
		w.setTimer(timeout)
	}
}

func (w *silenceWatch) now() time.Duration { return w.primary.x.front.core.Now() }

// setTimer schedules the next call of expire. w.mu is held.
func (w *silenceWatch) setTimer(d time.Duration) {
	w.dueAt = w.now() + d
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

// beginSend records that the request is being sent. If a backup has taken over, the connection is closed.
func (w *silenceWatch) beginSend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent, w.sending = true, true
}

// endSend records that the request has been written, or has failed.
func (w *silenceWatch) endSend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending = false
}

// hasUnread reports whether bytes of the server, or its end, are there to be read: this process is late, not the
// server. While the request is written, an end tells nothing of this process, as it is read only afterwards. w.mu is
// held.
func (w *silenceWatch) hasUnread() bool {
	switch socket.Peek(w.primary.conn.Conn) {
	case socket.Idle:
		return false
	case socket.Closed:
		return !w.sending
	}
	return true
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
	if !a.x.canContinue() {
		return nil
	}
	if w.hasUnread() || w.excuseLateTimer() {
		w.setTimer(backupRetryInterval)
		return nil
	}
	if w.isCommonSilence() {
		w.setTimer(commonSilenceInterval)
		return nil
	}
	b := &backup{ended: make(chan struct{})}
	b.ctx, b.cancel = context.WithCancel(a.x.work)
	b.id, b.commands = a.x.front.core.submitBackup(a.id)
	w.backup = b
	return b
}

// excuseLateTimer reports whether the timer fired late, so that this process has stood still: the reader may have got a
// part of the response just now, and has not told yet. It does so once for each part. w.mu is held.
func (w *silenceWatch) excuseLateTimer() bool {
	late := !w.excused && w.now() > w.dueAt+maxTimerDelay
	w.excused = w.excused || late
	return late
}

// takeOver makes the backup replace the attempt, which ends with the given outcome. w.mu is held.
func (w *silenceWatch) takeOver(o direct.Outcome) {
	w.tookOver = true
	w.silentFor = w.now() - w.armedAt
	core := w.primary.x.front.core
	core.Update(direct.TakeOverMsg{Now: w.now(), ID: w.backup.id, Outcome: o, NotSent: !w.sent, RouterLate: core.pressure.Slow()})
	w.primary.conn.Close() // ends the read from the silent server
	w.backup.attempt.watch.enable()
}
