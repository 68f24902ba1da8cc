package sendqueue

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/gateway/memory"
)

// Queues holds the send queues of all callers of a router. They share one memory budget with the
// bodies of its requests. Create it with NewQueues.
type Queues struct {
	mu       sync.Mutex
	budget   *memory.Budget
	onDrop   map[*memory.Account]func() // callbacks of the accounts that hold memory
	dropped  atomic.Int64
	waiting  atomic.Int64
	start    time.Time
	onUnread func(UnreadResponse)
}

// UnreadResponse describes a response that its caller did not read to the end.
type UnreadResponse struct {
	Team      string
	BytesLeft int           // not sent
	Stalled   time.Duration // time since the caller last accepted data
	Err       error
}

// NewQueues returns queues that take over the budget: no other code may use it. onUnread is called
// for each response that was not read, after its connection is closed and its memory is free. It
// must not block.
func NewQueues(budget *memory.Budget, onUnread func(UnreadResponse)) *Queues {
	return &Queues{budget: budget, onDrop: make(map[*memory.Account]func()), start: time.Now(), onUnread: onUnread}
}

// Now returns the time since the creation of the queues, on the monotonic clock.
func (q *Queues) Now() time.Duration { return time.Since(q.start) }

// Wrap returns a connection whose writes are queued. onClose is called once, when the connection
// has been closed and its queue has been sent or discarded.
func (q *Queues) Wrap(inner net.Conn, onClose func()) *Conn {
	return &Conn{Conn: inner, queues: q, onClose: onClose, account: &memory.Account{}}
}

// Grow adds n bytes to an account and reports whether the budget allows it. onDrop is called at most
// once, if the account is dropped later to make room for another. The account is closed by then.
func (q *Queues) Grow(a *memory.Account, n int, onDrop func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	victims, ok := q.budget.Grow(a, n)
	for _, v := range victims {
		q.dropped.Add(1)
		// Runs in a goroutine, as the callback may need a lock whose holder waits for q.mu.
		go q.onDrop[v]()
		delete(q.onDrop, v)
	}
	if ok {
		q.onDrop[a] = onDrop
	}
	return ok
}

// Pin protects an account from being dropped, and reports whether it is still open.
func (q *Queues) Pin(a *memory.Account) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a.Pinned = true
	return !a.Closed()
}

// SetReceiving sets whether an account grows with a response from a server, and reports whether it is
// still open.
func (q *Queues) SetReceiving(a *memory.Account, receiving bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a.Receiving = receiving
	return !a.Closed()
}

// Close closes an account and frees its memory.
func (q *Queues) Close(a *memory.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.Close(a)
	delete(q.onDrop, a)
}

// Held returns the number of bytes held.
func (q *Queues) Held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.budget.Held()
}

// Dropped returns the number of request bodies and responses that were dropped for lack of memory.
func (q *Queues) Dropped() int64 { return q.dropped.Load() }

// Waiting returns the number of connections with queued data.
func (q *Queues) Waiting() int64 { return q.waiting.Load() }

// shrink returns n bytes of an account to the budget.
func (q *Queues) shrink(a *memory.Account, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.Shrink(a, n)
	if a.Bytes() == 0 {
		delete(q.onDrop, a)
	}
}
