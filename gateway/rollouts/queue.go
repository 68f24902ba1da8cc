package rollouts

import (
	"sync"

	"github.com/croftvale/croftvale/rollout"
)

// maxQueuedResponses bounds the answers that wait for the next tick, a tenth of a second: 40,000 a
// second is far more than a router serves.
const maxQueuedResponses = 4096

// queue holds messages until its owner takes them. Any message but an answer wakes the
// owner; answers, which are many, wait for the next tick.
type queue struct {
	mu        sync.Mutex
	waiting   []rollout.Msg
	responses int           // among waiting
	dropped   int64         // answers, since the last take
	wake      chan struct{} // a message other than an answer waits
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// put adds a message. It never waits: answers that find no room are dropped, since they
// are many and each says little.
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

// take returns the messages in the order in which they came, and how many answers were
// dropped.
func (q *queue) take() ([]rollout.Msg, int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	out, dropped := q.waiting, q.dropped
	q.waiting, q.responses, q.dropped = nil, 0, 0
	return out, dropped
}
