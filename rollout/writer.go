package rollout

import "time"

const (
	// firstPause is before a write is repeated that the store refused or left open; a
	// store that is only restarting a part is back by then.
	firstPause = 200 * time.Millisecond
	// mostPause bounds the growing pauses: a store that is back is used in time.
	mostPause = 2 * time.Second
	// conflictPause is how long the news that caused a conflict may take.
	conflictPause = 2 * time.Second
	// forgotten is how long a write may take before it is taken as left open.
	forgotten = 15 * time.Second
)

// writer keeps to one write of a service at a time.
type writer struct {
	out     *WriteCmd
	key     uint64 // of the order that it was decided on
	sentAt  time.Duration
	retryAt time.Duration
	pause   time.Duration
	waits   bool // for the news behind a conflict
	news    bool // came since the write went out
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
func (w *writer) ended(m WrittenMsg) *WriteCmd {
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
