package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/sendqueue"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// closeFraction is the part of the connections that may be held from which answers
	// close theirs.
	closeFraction = 0.6
	// lateConnsPerCore is how many connections a router that runs late keeps for each of
	// its cores: if all of them ask at once, the last is read some 70 milliseconds
	// later, at 75 us each.
	lateConnsPerCore = 900
	// minStall is for how long a caller must have taken and sent nothing for its place to go
	// to a new caller: longer than a lost packet holds a line up.
	minStall = time.Second
)

// callerConns keeps account of the connections that callers hold: no more than a
// number at once, and none at rest for too long. Where all places are taken, callers that
// neither read nor send lose theirs first.
type callerConns struct {
	slots       chan struct{}
	queues      *sendqueue.Queues
	mu          sync.Mutex
	open        map[*callerConn]bool
	unreadConns pressure.UnreadConns
	maxWhenLate int // connections that are kept while the router runs late; 0: all
	// unserved counts the connections that were closed before they were accepted.
	unserved atomic.Int64
}

// callerConn is one connection of a caller.
type callerConn struct {
	*sendqueue.Conn
	conns     *callerConns
	accepted  pressure.AcceptedConn
	active    bool      // a request is under way
	idleSince time.Time // zero before the first request, and during one
	closed    bool      // by this router, while it was at rest
	// bodyReadAt is when the last bytes of a body came that is being read, in nanoseconds on the
	// queues' clock; 0: none is.
	bodyReadAt atomic.Int64
}

// newCallerConns returns the account of a router that may hold most connections, and has
// so many cores; 0: unknown.
func newCallerConns(maxConns int, cores float64, queues *sendqueue.Queues) *callerConns {
	return &callerConns{
		queues: queues, slots: make(chan struct{}, maxConns), open: make(map[*callerConn]bool),
		unreadConns: pressure.NewUnreadConns(cores), maxWhenLate: int(lateConnsPerCore * cores),
	}
}

// add begins the account of a new connection, which has a place.
func (c *callerConns) add(conn net.Conn) *callerConn {
	caller := &callerConn{conns: c, accepted: pressure.AcceptedConn{At: time.Now()}}
	caller.Conn = c.queues.Wrap(conn, caller.onClose)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[caller] = true
	c.unreadConns.Add(&caller.accepted)
	return caller
}

// full tells whether there is no place for a new connection, or as many wait to be
// read as the router reads in good time.
func (c *callerConns) full() bool {
	if len(c.slots) == cap(c.slots) && !c.dropStalled() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadConns.Full(time.Now())
}

// onClose gives the place back, once the connection is closed.
func (c *callerConn) onClose() {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.unreadConns.Remove(&c.accepted)
	c.conns.mu.Unlock()
	<-c.conns.slots
}

// stalledFor is for how long the caller has neither read what waits for it nor sent more of the body
// that is being read.
func (c *callerConn) stalledFor() time.Duration {
	stalled := c.Stalled()
	if at := c.bodyReadAt.Load(); at != 0 {
		stalled = max(stalled, c.conns.queues.Now()-time.Duration(at))
	}
	return stalled
}

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// connContext is the http.Server's ConnContext.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request, nil where it isn't known.
func callerConnOf(ctx context.Context) *callerConn {
	caller, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return caller
}

// connState is the http.Server's ConnState.
func (c *callerConns) connState(conn net.Conn, s http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		caller.active = true
		c.unreadConns.Remove(&caller.accepted)
		caller.idleSince = time.Time{}
	case http.StateIdle:
		caller.active = false
		caller.idleSince = time.Now()
	}
}

// closedByRouter tells whether a request came on a connection that was closed as it
// came: it must not be forwarded, since its answer could not be given.
func (c *callerConns) closedByRouter(ctx context.Context) bool {
	caller := callerConnOf(ctx)
	if caller == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return caller.closed
}

// closedByCaller tells whether a request's caller has closed its connection; the request must
// have been read to its end.
func (c *callerConns) closedByCaller(ctx context.Context) bool {
	caller := callerConnOf(ctx)
	return caller != nil && socket.Look(caller.Conn) == socket.Ended
}

// shouldClose tells whether answers should close their connections. A router that runs
// late keeps few: the more callers ask it at once, the later it reads each of them.
func (c *callerConns) shouldClose(late bool) bool {
	open := len(c.slots)
	if late && c.maxWhenLate > 0 && open > c.maxWhenLate {
		return true
	}
	return float64(open) > closeFraction*float64(cap(c.slots))
}

// dropStalled closes the connection that has stalled longest, where one has, and tells whether
// there is a place then.
func (c *callerConns) dropStalled() bool {
	var longestStalled *callerConn
	longest := minStall
	c.mu.Lock()
	for caller := range c.open {
		if stalled := caller.stalledFor(); stalled >= longest {
			longestStalled, longest = caller, stalled
		}
	}
	c.mu.Unlock()
	if longestStalled == nil {
		return false
	}
	longestStalled.Drop(sendqueue.ErrStalled)
	return len(c.slots) < cap(c.slots)
}

// hasPendingResponses tells whether answers wait for their callers to read them.
func (c *callerConns) hasPendingResponses() bool { return c.queues.Waiting() > 0 }

// hasUnreadRequests tells whether a request lies unread on a connection at rest, or on a
// new one.
func (c *callerConns) hasUnreadRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for caller := range c.open {
		if !caller.active && socket.Look(caller.Conn) == socket.Bytes {
			return true
		}
	}
	return false
}

// closeIdle closes connections that have been at rest longer than rest. One that
// has bytes to read is not at rest: a late router has not come to read them.
func (c *callerConns) closeIdle(idleTimeout time.Duration) {
	for _, caller := range c.markIdle(idleTimeout) {
		_ = caller.Close() // at rest, so nothing is lost
	}
}

// markIdle marks and returns the connections to close.
func (c *callerConns) markIdle(idleTimeout time.Duration) []*callerConn {
	if idleTimeout <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []*callerConn
	for caller := range c.open {
		expired := !caller.closed && !caller.idleSince.IsZero() && time.Since(caller.idleSince) > idleTimeout && !caller.Waits()
		if expired && socket.Look(caller.Conn) != socket.Bytes {
			caller.closed = true
			idle = append(idle, caller)
		}
	}
	return idle
}
