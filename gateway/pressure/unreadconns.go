package pressure

import "time"

const (
	// unreadConnsPerCore is how many new connections a core reads and refuses in some 50
	// milliseconds (a refusal on a new connection takes 70 us of a core at
	// BenchmarkRefusal, and about twice that under the users' accounting).
	unreadConnsPerCore = 300
	// MinUnreadConns is the least bound: callers that come together to a small host.
	MinUnreadConns = 16
	// unreadConnTTL is how long a connection counts that is not read: by then its caller
	// has not sent anything, and nothing waits.
	unreadConnTTL = 250 * time.Millisecond
)

// AcceptedConn is a connection that was accepted.
type AcceptedConn struct {
	At      time.Time
	counted bool // by Fresh
}

// UnreadConns counts the connections that were accepted and whose first request has not
// been read: they wait for processor time. The zero value counts and is never full.
type UnreadConns struct {
	limit int // 0: without bounds
	count int
	queue []*AcceptedConn // in the order in which they were accepted
}

// NewUnreadConns returns the count of a router with so many cores; 0: unknown.
func NewUnreadConns(cores float64) UnreadConns {
	if cores <= 0 {
		return UnreadConns{}
	}
	return UnreadConns{limit: max(int(unreadConnsPerCore*cores), MinUnreadConns)}
}

// Add begins to count a connection.
func (f *UnreadConns) Add(a *AcceptedConn) {
	a.counted = true
	f.count++
	f.queue = append(f.queue, a)
}

// Remove ends counting a connection, whose first request is read or which is closed.
func (f *UnreadConns) Remove(a *AcceptedConn) {
	if a.counted {
		a.counted = false
		f.count--
	}
}

// Count returns how many connections wait.
func (f *UnreadConns) Count() int { return f.count }

// Full tells whether as many connections wait as the router reads in good time.
func (f *UnreadConns) Full(now time.Time) bool {
	for len(f.queue) > 0 {
		oldest := f.queue[0]
		if oldest.counted && now.Sub(oldest.At) < unreadConnTTL {
			break
		}
		f.Remove(oldest)
		f.queue[0] = nil
		f.queue = f.queue[1:]
	}
	return f.limit > 0 && f.count >= f.limit
}
