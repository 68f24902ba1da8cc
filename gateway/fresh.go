package gateway

import "time"

const (
	// freshPerCore is how many new connections a core reads and refuses in some 50
	// milliseconds (a refusal on a new connection takes 70 us of a core at
	// BenchmarkRefusal, and about twice that under the users' accounting).
	freshPerCore = 300
	freshLeast   = 16
	// freshLasts is how long a connection counts that is not read: by then its caller
	// has not sent anything, and nothing waits.
	freshLasts = 250 * time.Millisecond
)

// fresh counts the connections that were accepted and whose first request has not
// been read: they wait for processor time. The zero value counts and is never full.
type fresh struct {
	most  int // 0: without bounds
	count int
	queue []*callerConn // in the order in which they were accepted
}

// newFresh returns the count of a router with so many cores; 0: unknown.
func newFresh(cores float64) fresh {
	if cores <= 0 {
		return fresh{}
	}
	return fresh{most: max(int(freshPerCore*cores), freshLeast)}
}

// add begins to count a connection.
func (f *fresh) add(c *callerConn) {
	c.isFresh = true
	f.count++
	f.queue = append(f.queue, c)
}

// remove ends counting a connection, whose first request is read or which is closed.
func (f *fresh) remove(c *callerConn) {
	if c.isFresh {
		c.isFresh = false
		f.count--
	}
}

// full tells whether as many connections wait as the router reads in good time.
func (f *fresh) full(now time.Time) bool {
	for len(f.queue) > 0 {
		oldest := f.queue[0]
		if oldest.isFresh && now.Sub(oldest.acceptedAt) < freshLasts {
			break
		}
		f.remove(oldest)
		f.queue[0] = nil
		f.queue = f.queue[1:]
	}
	return f.most > 0 && f.count >= f.most
}
