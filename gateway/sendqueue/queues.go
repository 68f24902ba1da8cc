package sendqueue

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/gateway/memory"
)

// Queues are the send queues of all callers of a router, which share one budget of memory with the
// bodies of its requests. Make them with NewQueues.
type Queues struct {
	mu       sync.Mutex
	budget   *memory.Budget
	onDrop   map[*memory.Account]func() // of those that hold something
	dropped  atomic.Int64
	waiting  atomic.Int64
	start    time.Time
	onUnread func(UnreadResponse)
}

// UnreadResponse is an answer that its caller did not read to the end.
type UnreadResponse struct {
	Team      string
	BytesLeft int           // that were not sent
	Stalled   time.Duration // since the caller last took something
	Err       error
}

// NewQueues returns the queues of a budget, which nobody else may use then. lost is told of each
// answer that was not read, once its connection is closed and its memory is free; it must not block.
func NewQueues(budget *memory.Budget, onUnread func(UnreadResponse)) *Queues {
	return &Queues{budget: budget, onDrop: make(map[*memory.Account]func()), start: time.Now(), onUnread: onUnread}
}

// Now is the time since the queues were made, on a clock that steps of the time of day don't touch.
func (q *Queues) Now() time.Duration { return time.Since(q.start) }

// Wrap returns a connection whose writes wait for no reader. closed is called once, when the
// connection has been closed and nothing waits to be sent any more.
func (q *Queues) Wrap(inner net.Conn, onClose func()) *Conn {
	return &Conn{Conn: inner, queues: q, onClose: onClose, account: &memory.Account{}}
}

// Grow has an account hold n bytes more, and tells whether it may. drop is called, once at the
// most, where the account must give way later; it is closed then.
func (q *Queues) Grow(a *memory.Account, n int, onDrop func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	victims, ok := q.budget.Grow(a, n)
	for _, v := range victims {
		q.dropped.Add(1)
		// What drops it may wait for a lock whose holder waits for this one's.
		go q.onDrop[v]()
		delete(q.onDrop, v)
	}
	if ok {
		q.onDrop[a] = onDrop
	}
	return ok
}

// Pin has an account give no way any more, and tells whether it has not done so already.
func (q *Queues) Pin(a *memory.Account) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a.Pinned = true
	return !a.Closed()
}

// Close ends an account.
func (q *Queues) Close(a *memory.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.Close(a)
	delete(q.onDrop, a)
}

// Held is how many bytes are held.
func (q *Queues) Held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.budget.Held()
}

// Dropped is how many bodies and answers have been dropped for want of memory.
func (q *Queues) Dropped() int64 { return q.dropped.Load() }

// Waiting is how many connections have something to send that their callers don't read yet.
func (q *Queues) Waiting() int64 { return q.waiting.Load() }

// shrink gives n bytes of an account back.
func (q *Queues) shrink(a *memory.Account, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.Shrink(a, n)
	if a.Bytes() == 0 {
		delete(q.onDrop, a)
	}
}
