package rollout

import "time"

const (
	// initialBackoff is the delay before the first retry of a write that the store refused or
	// did not respond to: a store that restarts a component is available again by then.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff limits the growing backoff, so that a recovered store is used soon.
	maxBackoff = 2 * time.Second
	// conflictWait is how long a write waits, after a conflict, for the store to deliver the
	// change that caused it.
	conflictWait = 2 * time.Second
	// writeTimeout is the time after which a write without a WriteDoneMsg is abandoned; the
	// routers' timeouts for single calls are far shorter.
	writeTimeout = 15 * time.Second
)

// writer allows one write of a service at a time, and schedules retries.
type writer struct {
	pending      *WriteCmd // write without a result yet; nil: none
	orderKey     uint64    // key of the order that the write is based on
	sentAt       time.Duration
	retryAt      time.Duration
	backoff      time.Duration
	awaitsChange bool // waits until the store delivers the change that caused a conflict
	changed      bool // the object has changed since the write was sent
}

// ready reports whether a write may be sent now. It abandons a pending write that has timed out.
func (w *writer) ready(now time.Duration) bool {
	if w.pending != nil && now-w.sentAt >= writeTimeout {
		w.pending = nil
	}
	return w.pending == nil && now >= w.retryAt
}

func (w *writer) send(c WriteCmd, orderKey uint64, now time.Duration) Cmd {
	w.pending, w.orderKey, w.sentAt, w.changed = &c, orderKey, now, false
	return c
}

// objectChanged records that the store has delivered a newer object.
func (w *writer) objectChanged() {
	w.changed = true
	if w.awaitsChange {
		w.awaitsChange, w.retryAt = false, 0
	}
}

// finish records the result of a write, and returns the write if it is the pending one.
func (w *writer) finish(m WriteDoneMsg) *WriteCmd {
	if w.pending == nil || w.pending.Kind != m.Kind {
		return nil
	}
	out := w.pending
	w.pending = nil
	switch m.Result {
	case Written:
		w.backoff, w.retryAt = 0, 0
	case Conflict:
		w.awaitsChange = !w.changed
		if w.awaitsChange {
			w.retryAt = m.Now + conflictWait
		}
	case Refused, Unknown:
		w.backoff = min(max(initialBackoff, 2*w.backoff), maxBackoff)
		w.retryAt = m.Now + w.backoff
	}
	return out
}
