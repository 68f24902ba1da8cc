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
	// crowdedPart is the part of the connections that may be held from which answers
	// close theirs.
	crowdedPart = 0.6
	// keptPerCore is how many connections a router that runs late keeps for each of
	// its cores: if all of them ask at once, the last is read some 70 milliseconds
	// later, at 75 us each.
	keptPerCore = 900
	// stalledLeast is for how long a caller must have taken and sent nothing for its place to go
	// to a new caller: longer than a lost packet holds a line up.
	stalledLeast = time.Second
)

// callers keeps account of the connections that callers hold: no more than a
// number at once, and none at rest for too long. Where all places are taken, callers that
// neither read nor send lose theirs first.
type callers struct {
	places chan struct{}
	queues *sendqueue.Queues
	mu     sync.Mutex
	open   map[*callerConn]bool
	fresh  pressure.UnreadConns
	kept   int // connections that are kept while the router runs late; 0: all
	// unserved counts the connections that were closed before they were accepted.
	unserved atomic.Int64
}

// callerConn is one connection of a caller.
type callerConn struct {
	*sendqueue.Conn
	callers   *callers
	arrival   pressure.AcceptedConn
	active    bool      // a request is under way
	idleSince time.Time // zero before the first request, and during one
	closed    bool      // by this router, while it was at rest
	// bodyAt is when the last bytes of a body came that is being read, in nanoseconds on the
	// queues' clock; 0: none is.
	bodyAt atomic.Int64
}

// newCallers returns the account of a router that may hold most connections, and has
// so many cores; 0: unknown.
func newCallers(most int, cores float64, queues *sendqueue.Queues) *callers {
	return &callers{
		queues: queues, places: make(chan struct{}, most), open: make(map[*callerConn]bool),
		fresh: pressure.NewUnreadConns(cores), kept: int(keptPerCore * cores),
	}
}

// take begins the account of a new connection, which has a place.
func (c *callers) take(conn net.Conn) *callerConn {
	caller := &callerConn{callers: c, arrival: pressure.AcceptedConn{At: time.Now()}}
	caller.Conn = c.queues.Wrap(conn, caller.gone)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[caller] = true
	c.fresh.Add(&caller.arrival)
	return caller
}

// full tells whether there is no place for a new connection, or as many wait to be
// read as the router reads in good time.
func (c *callers) full() bool {
	if len(c.places) == cap(c.places) && !c.dropStalled() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.Full(time.Now())
}

// gone gives the place back, once the connection is closed.
func (c *callerConn) gone() {
	c.callers.mu.Lock()
	delete(c.callers.open, c)
	c.callers.fresh.Remove(&c.arrival)
	c.callers.mu.Unlock()
	<-c.callers.places
}

// stalled is for how long the caller has neither read what waits for it nor sent more of the body
// that is being read.
func (c *callerConn) stalled() time.Duration {
	stalled := c.StalledFor()
	if at := c.bodyAt.Load(); at != 0 {
		stalled = max(stalled, c.callers.queues.Now()-time.Duration(at))
	}
	return stalled
}

// callerKey is the context key of a request's connection.
type callerKey struct{}

// context is the http.Server's ConnContext.
func (c *callers) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
}

// callerOf returns the connection of a request, nil where it isn't known.
func callerOf(ctx context.Context) *callerConn {
	caller, _ := ctx.Value(callerKey{}).(*callerConn)
	return caller
}

// state is the http.Server's ConnState.
func (c *callers) state(conn net.Conn, s http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		caller.active = true
		c.fresh.Remove(&caller.arrival)
		caller.idleSince = time.Time{}
	case http.StateIdle:
		caller.active = false
		caller.idleSince = time.Now()
	}
}

// lost tells whether a request came on a connection that was closed as it
// came: it must not be forwarded, since its answer could not be given.
func (c *callers) lost(ctx context.Context) bool {
	caller := callerOf(ctx)
	if caller == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return caller.closed
}

// left tells whether a request's caller has closed its connection; the request must
// have been read to its end.
func (c *callers) left(ctx context.Context) bool {
	caller := callerOf(ctx)
	return caller != nil && socket.Look(caller.Conn) == socket.Ended
}

// crowded tells whether answers should close their connections. A router that runs
// late keeps few: the more callers ask it at once, the later it reads each of them.
func (c *callers) crowded(late bool) bool {
	held := len(c.places)
	if late && c.kept > 0 && held > c.kept {
		return true
	}
	return float64(held) > crowdedPart*float64(cap(c.places))
}

// dropStalled closes the connection that has stalled longest, where one has, and tells whether
// there is a place then.
func (c *callers) dropStalled() bool {
	var found *callerConn
	longest := stalledLeast
	c.mu.Lock()
	for caller := range c.open {
		if stalled := caller.stalled(); stalled >= longest {
			found, longest = caller, stalled
		}
	}
	c.mu.Unlock()
	if found == nil {
		return false
	}
	found.Abort(sendqueue.ErrStalled)
	return len(c.places) < cap(c.places)
}

// waiting tells whether answers wait for their callers to read them.
func (c *callers) waiting() bool { return c.queues.Waiting() > 0 }

// unread tells whether a request lies unread on a connection at rest, or on a
// new one.
func (c *callers) unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for caller := range c.open {
		if !caller.active && socket.Look(caller.Conn) == socket.Bytes {
			return true
		}
	}
	return false
}

// sweep closes connections that have been at rest longer than rest. One that
// has bytes to read is not at rest: a late router has not come to read them.
func (c *callers) sweep(rest time.Duration) {
	for _, caller := range c.atRest(rest) {
		_ = caller.Close() // at rest, so nothing is lost
	}
}

// atRest marks and returns the connections to close.
func (c *callers) atRest(rest time.Duration) []*callerConn {
	if rest <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*callerConn
	for caller := range c.open {
		old := !caller.closed && !caller.idleSince.IsZero() && time.Since(caller.idleSince) > rest && !caller.HasPending()
		if old && socket.Look(caller.Conn) != socket.Bytes {
			caller.closed = true
			out = append(out, caller)
		}
	}
	return out
}
