package rollout

import "time"

const (
	// firstPause is the time before a write is repeated that the store refused or did not
	// answer: a store that restarts one of its parts is back by then.
	firstPause = 200 * time.Millisecond
	// mostPause bounds the growing pauses: a store that is back is used in time.
	mostPause = 2 * time.Second
	// conflictPause is how long a write waits, after a conflict, for the change that caused
	// it to come from the store.
	conflictPause = 2 * time.Second
	// forgotten is the time after which a write without a WrittenMsg counts as unanswered;
	// routers bound each call far below it.
	forgotten = 15 * time.Second
)

// writer allows one write of a service at a time, and decides when to repeat one.
type writer struct {
	out     *WriteCmd
	key     uint64 // of the order that it was decided on
	sentAt  time.Duration
	retryAt time.Duration
	pause   time.Duration
	waits   bool // for the change that caused a conflict
	news    bool // the object has changed since the write was sent
}

func (w *writer) ready(now time.Duration) bool {
	if w.out != nil && now-w.sentAt >= forgotten {
		w.out = nil
	}
	return w.out == nil && now >= w.retryAt
}

func (w *writer) send(c WriteCmd, key uint64, now time.Duration) Cmd {
	w.out, w.key, w.sentAt, w.news = &c, key, now, false
	return c
}

// shown notes that the store holds something newer than was known.
func (w *writer) shown() {
	w.news = true
	if w.waits {
		w.waits, w.retryAt = false, 0
	}
}

// ended notes how a write ended, and returns it if it is the one under way.
func (w *writer) ended(m WriteDoneMsg) *WriteCmd {
	if w.out == nil || w.out.Kind != m.Kind {
		return nil
	}
	out := w.out
	w.out = nil
	switch m.Result {
	case Written:
		w.pause, w.retryAt = 0, 0
	case Conflict:
		w.waits = !w.news
		if w.waits {
			w.retryAt = m.Now + conflictPause
		}
	case Refused, Unknown:
		w.pause = min(max(firstPause, 2*w.pause), mostPause)
		w.retryAt = m.Now + w.pause
	}
	return out
}
