package rollout

import "time"

const (
	// firstPause is the time before a write is repeated that the store refused or did not
	// answer: a store that restarts one of its parts is back by then.
	initialBackoff = 200 * time.Millisecond
	// mostPause bounds the growing pauses: a store that is back is used in time.
	maxBackoff = 2 * time.Second
	// conflictPause is how long a write waits, after a conflict, for the change that caused
	// it to come from the store.
	conflictWait = 2 * time.Second
	// forgotten is the time after which a write without a WrittenMsg counts as unanswered;
	// routers bound each call far below it.
	writeTimeout = 15 * time.Second
)

// writer allows one write of a service at a time, and decides when to repeat one.
type writer struct {
	pending      *WriteCmd
	key          uint64 // of the order that it was decided on
	sentAt       time.Duration
	retryAt      time.Duration
	backoff      time.Duration
	awaitsChange bool // for the change that caused a conflict
	changed      bool // the object has changed since the write was sent
}

func (w *writer) ready(now time.Duration) bool {
	if w.pending != nil && now-w.sentAt >= writeTimeout {
		w.pending = nil
	}
	return w.pending == nil && now >= w.retryAt
}

func (w *writer) send(c WriteCmd, key uint64, now time.Duration) Cmd {
	w.pending, w.key, w.sentAt, w.changed = &c, key, now, false
	return c
}

// shown notes that the store holds something newer than was known.
func (w *writer) objectChanged() {
	w.changed = true
	if w.awaitsChange {
		w.awaitsChange, w.retryAt = false, 0
	}
}

// ended notes how a write ended, and returns it if it is the one under way.
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
