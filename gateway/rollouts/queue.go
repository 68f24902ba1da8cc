package rollouts

import (
	"sync"

	"github.com/croftvale/croftvale/rollout"
)

// maxQueuedResponses is the maximum number of responses that wait for the next tick, a tenth of a
// second later. It allows 40,000 responses per second, far more than a router serves.
const maxQueuedResponses = 4096

// queue holds messages until the runner takes them. Responses, of which there are many, wait
// for the next tick; any other message wakes the runner.
type queue struct {
	mu        sync.Mutex
	waiting   []rollout.Msg
	responses int           // number of responses in waiting
	dropped   int64         // responses dropped since the last take
	wake      chan struct{} // signals that a message other than a response was added
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// put adds a message and never blocks. Responses beyond the limit are dropped: there are
// many, and each adds little evidence.
func (q *queue) put(msg rollout.Msg) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, isResponse := msg.(rollout.ResponseMsg); isResponse {
		if q.responses == maxQueuedResponses {
			q.dropped++
			return
		}
		q.responses++
		q.waiting = append(q.waiting, msg)
		return
	}
	q.waiting = append(q.waiting, msg)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the messages in order of arrival, and the number of responses that
// were dropped since the last take.
func (q *queue) take() ([]rollout.Msg, int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	out, dropped := q.waiting, q.dropped
	q.waiting, q.responses, q.dropped = nil, 0, 0
	return out, dropped
}
