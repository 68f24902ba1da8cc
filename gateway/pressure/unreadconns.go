package pressure

import "time"

const (
	// unreadConnsPerCore is the number of new connections that one core reads and refuses in about
	// 50 ms. A refusal on a new connection takes 70 us of a core (see BenchmarkRefusal), and about
	// twice that where CPU time is accounted per user.
	unreadConnsPerCore = 300
	// MinUnreadConns is the minimum limit, for callers that connect to a small host at the same
	// time.
	MinUnreadConns = 16
	// unreadConnTTL is how long an unread connection counts. After that its caller has not sent
	// anything, so no request is waiting.
	unreadConnTTL = 250 * time.Millisecond
)

// AcceptedConn is an accepted connection.
type AcceptedConn struct {
	At      time.Time
	counted bool // by UnreadConns
}

// UnreadConns counts the accepted connections whose first request has not been read because the
// process is short of CPU time. The zero value counts and is never full.
type UnreadConns struct {
	limit int // 0: no limit
	count int
	queue []*AcceptedConn // in the order of acceptance
}

// NewUnreadConns returns the counter of a router with the given number of cores; 0 means unknown
// and sets no limit.
func NewUnreadConns(cores float64) UnreadConns {
	if cores <= 0 {
		return UnreadConns{}
	}
	return UnreadConns{limit: max(int(unreadConnsPerCore*cores), MinUnreadConns)}
}

// Add starts counting a connection.
func (c *UnreadConns) Add(a *AcceptedConn) {
	a.counted = true
	c.count++
	c.queue = append(c.queue, a)
}

// Remove stops counting a connection whose first request has been read or that has been closed.
func (c *UnreadConns) Remove(a *AcceptedConn) {
	if a.counted {
		a.counted = false
		c.count--
	}
}

// Count returns the number of unread connections.
func (c *UnreadConns) Count() int { return c.count }

// Full reports whether as many connections are unread as the router can read in about 50 ms.
func (c *UnreadConns) Full(now time.Time) bool {
	for len(c.queue) > 0 {
		oldest := c.queue[0]
		if oldest.counted && now.Sub(oldest.At) < unreadConnTTL {
			break
		}
		c.Remove(oldest)
		c.queue[0] = nil
		c.queue = c.queue[1:]
	}
	return c.limit > 0 && c.count >= c.limit
}
