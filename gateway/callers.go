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
	// closeFraction is the fraction of the connection limit above which responses close
	// their connections.
	closeFraction = 0.6
	// lateConnsPerCore is how many connections a late router keeps for each of its cores.
	// If all of them send a request at once, the last is read about 70 ms later, at 75 us
	// each.
	lateConnsPerCore = 900
	// minStall is how long a caller must have neither read nor sent anything before its
	// slot may go to a new caller. It is longer than the delay that a lost packet causes.
	minStall = time.Second
)

// callerConns tracks the connections of callers and bounds their number and their idle
// time. If all slots are taken, a new connection replaces the one that has stalled longest.
type callerConns struct {
	slots       chan struct{} // one element for each connection, from before it is accepted until it is closed
	queues      *sendqueue.Queues
	mu          sync.Mutex
	open        map[*callerConn]bool
	unreadConns pressure.UnreadConns
	maxWhenLate int // connections kept while the router is late; 0: no limit
	// unserved counts the connections that were closed before they were accepted.
	unserved atomic.Int64
}

// callerConn is a connection of a caller.
type callerConn struct {
	*sendqueue.Conn
	conns     *callerConns
	accepted  pressure.AcceptedConn
	active    bool // a request is in progress
	idleMu    sync.Mutex
	idleSince time.Time // zero before the first request, and from the first byte of a request until its response
	unread    bool      // nothing of the next request has been read
	expired   bool      // the pending read was ended, as the connection was idle for too long
	// bodyReadAt is when the body in progress was last read, in nanoseconds on the clock
	// of the send queues; 0 if no body is being read.
	bodyReadAt atomic.Int64
}

// newCallerConns returns the connection table of a router that may hold maxConns
// connections and has the given number of cores; 0 cores: unknown.
func newCallerConns(maxConns int, cores float64, queues *sendqueue.Queues) *callerConns {
	return &callerConns{
		queues: queues, slots: make(chan struct{}, maxConns), open: make(map[*callerConn]bool),
		unreadConns: pressure.NewUnreadConns(cores), maxWhenLate: int(lateConnsPerCore * cores),
	}
}

// add registers a new connection, which already holds a slot.
func (c *callerConns) add(conn net.Conn) *callerConn {
	caller := &callerConn{conns: c, unread: true, accepted: pressure.AcceptedConn{At: time.Now()}}
	caller.Conn = c.queues.Wrap(conn, caller.onClose)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[caller] = true
	c.unreadConns.Add(&caller.accepted)
	return caller
}

// full reports whether no slot is free for a new connection, or whether as many connections
// are unread as the router can read in time.
func (c *callerConns) full() bool {
	if len(c.slots) == cap(c.slots) && !c.dropStalled() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadConns.Full(time.Now())
}

// onClose unregisters a closed connection and frees its slot.
func (c *callerConn) onClose() {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.unreadConns.Remove(&c.accepted)
	c.conns.mu.Unlock()
	<-c.conns.slots
}

// stalledFor returns how long the caller has neither read its pending response nor sent
// more of the body in progress.
func (c *callerConn) stalledFor() time.Duration {
	stalled := c.StalledFor()
	if at := c.bodyReadAt.Load(); at != 0 {
		stalled = max(stalled, c.conns.queues.Now()-time.Duration(at))
	}
	return stalled
}

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// connContext is the ConnContext function of the http.Server.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request, or nil if it is unknown.
func callerConnOf(ctx context.Context) *callerConn {
	caller, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return caller
}

// connState is the ConnState function of the http.Server.
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
		caller.setIdle(time.Time{})
	case http.StateIdle:
		caller.active = false
		caller.setIdle(time.Now())
	}
}

// closedByCaller reports whether the caller of a request has closed its connection. The
// request must have been read to its end.
func (c *callerConns) closedByCaller(ctx context.Context) bool {
	caller := callerConnOf(ctx)
	return caller != nil && socket.Peek(caller.Conn) == socket.Closed
}

// shouldClose reports whether responses should close their connections. A late router keeps
// few connections: the more callers send requests at once, the later it reads each of them.
func (c *callerConns) shouldClose(late bool) bool {
	open := len(c.slots)
	if late && c.maxWhenLate > 0 && open > c.maxWhenLate {
		return true
	}
	return float64(open) > closeFraction*float64(cap(c.slots))
}

// dropStalled closes the connection that has stalled longest, if any has, and reports
// whether a slot is free then.
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
	longestStalled.Abort(sendqueue.ErrStalled)
	return len(c.slots) < cap(c.slots)
}

// hasPendingResponses reports whether any response waits for its caller to read it.
func (c *callerConns) hasPendingResponses() bool { return c.queues.Waiting() > 0 }

// hasUnreadRequests reports whether a request is unread on an idle or a new connection.
func (c *callerConns) hasUnreadRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for caller := range c.open {
		if !caller.active && socket.Peek(caller.Conn) == socket.Readable {
			return true
		}
	}
	return false
}
