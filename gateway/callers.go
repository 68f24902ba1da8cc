package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/gateway/pressure"
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
)

// callers keeps account of the connections that callers hold: no more than a
// number at once, and none at rest for too long.
type callers struct {
	places chan struct{}
	mu     sync.Mutex
	open   map[*callerConn]bool
	fresh  pressure.Fresh
	kept   int // connections that are kept while the router runs late; 0: all
	// unserved counts the connections that were closed before they were accepted.
	unserved atomic.Int64
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	callers   *callers
	once      sync.Once
	arrival   pressure.Arrival
	active    bool      // a request is under way
	idleSince time.Time // zero before the first request, and during one
	closed    bool      // by this router, while it was at rest
}

// newCallers returns the account of a router that may hold most connections, and has
// so many cores; 0: unknown.
func newCallers(most int, cores float64) *callers {
	return &callers{
		places: make(chan struct{}, most), open: make(map[*callerConn]bool),
		fresh: pressure.NewFresh(cores), kept: int(keptPerCore * cores),
	}
}

// take begins the account of a new connection, which has a place.
func (c *callers) take(conn net.Conn) *callerConn {
	caller := &callerConn{Conn: conn, callers: c, arrival: pressure.Arrival{At: time.Now()}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[caller] = true
	c.fresh.Add(&caller.arrival)
	return caller
}

// full tells whether there is no place for a new connection, or as many wait to be
// read as the router reads in good time.
func (c *callers) full() bool {
	if len(c.places) == cap(c.places) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.Full(time.Now())
}

// Close gives the place back.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.callers.mu.Lock()
		delete(c.callers.open, c)
		c.callers.fresh.Remove(&c.arrival)
		c.callers.mu.Unlock()
		<-c.callers.places
	})
	return err
}

// callerKey is the context key of a request's connection.
type callerKey struct{}

// context is the http.Server's ConnContext.
func (c *callers) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
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
	caller, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return caller.closed
}

// left tells whether a request's caller has closed its connection; the request must
// have been read to its end.
func (c *callers) left(ctx context.Context) bool {
	caller, ok := ctx.Value(callerKey{}).(*callerConn)
	return ok && socket.Look(caller.Conn) == socket.Ended
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
		_ = caller.Close()
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
		old := !caller.closed && !caller.idleSince.IsZero() && time.Since(caller.idleSince) > rest
		if old && socket.Look(caller.Conn) != socket.Bytes {
			caller.closed = true
			out = append(out, caller)
		}
	}
	return out
}
