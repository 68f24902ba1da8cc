package pressure

import "time"

const (
	// unreadConnsPerCore is the number of new connections that one core reads and refuses in about
	// 50 ms. A refusal on a new connection takes 70 us of a core (see BenchmarkRefusal). It costs
	// about twice as much in a deployment that charges the CPU time of its hosts by its own price
	// list.
	unreadConnsPerCore = 300
	// MinUnreadConns is the minimum limit. It lets some callers connect to a small host at the same
	// time.
	MinUnreadConns = 16
	// unreadConnTTL is how long an unread connection counts. A connection that is unread for longer
	// has no request waiting, because its caller has not sent anything.
	unreadConnTTL = 250 * time.Millisecond
)

// AcceptedConn records when a connection was accepted and whether it counts as unread.
type AcceptedConn struct {
	At      time.Time // when it was accepted
	counted bool      // by UnreadConns
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

// Full reports whether as many connections are unread as the router can read in about 50 ms. It
// first stops counting those that were accepted unreadConnTTL ago or earlier.
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
