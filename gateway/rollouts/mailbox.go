package rollouts

import (
	"sync"

	"github.com/croftvale/croftvale/rollout"
)

// answersMost bounds the answers that wait for the next tick: a tenth of a second's at
// far more than a router serves.
const answersMost = 4096

// mailbox holds messages until they are taken. Answers wait for the next tick, of the
// others its owner is woken.
type mailbox struct {
	mu      sync.Mutex
	waiting []rollout.Msg
	answers int
	dropped int64 // answers, since the last take
	wake    chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// put adds a message. It never waits: answers that find no room are dropped, since they
// are many and each says little.
func (b *mailbox) put(msg rollout.Msg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, answer := msg.(rollout.AnswerMsg); answer {
		if b.answers == answersMost {
			b.dropped++
			return
		}
		b.answers++
		b.waiting = append(b.waiting, msg)
		return
	}
	b.waiting = append(b.waiting, msg)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the messages in the order in which they came, and how many answers were
// dropped.
func (b *mailbox) take() ([]rollout.Msg, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out, dropped := b.waiting, b.dropped
	b.waiting, b.answers, b.dropped = nil, 0, 0
	return out, dropped
}
