package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
)

// crowdedPart is the part of the connections that may be held from which answers
// close theirs.
const crowdedPart = 0.6

// callers keeps account of the connections that callers hold: no more than a
// number at once, and none at rest for too long.
type callers struct {
	places chan struct{}
	mu     sync.Mutex
	open   map[*callerConn]bool
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	callers   *callers
	once      sync.Once
	active    bool      // a request is under way
	idleSince time.Time // zero before the first request, and during one
	closed    bool      // by this router, while it was at rest
}

func newCallers(most int) *callers {
	return &callers{places: make(chan struct{}, most), open: make(map[*callerConn]bool)}
}

// listener accepts connections while there is a place for them, and while the
// process is not stuck.
type listener struct {
	net.Listener
	callers *callers
	stuck   func() bool
}

const (
	// stuckPoll is the time between two looks whether the process is still stuck,
	// stuckMost the longest time that it takes no connections for that.
	stuckPoll = 5 * time.Millisecond
	stuckMost = 250 * time.Millisecond
)

// Accept waits for a place, and then for a connection. A process that is stuck
// leaves new connections in the short queue of its socket: their callers go to
// other routers, while those taken in would be read too late to be of use.
func (l listener) Accept() (net.Conn, error) {
	for waited := time.Duration(0); l.stuck() && waited < stuckMost; waited += stuckPoll {
		time.Sleep(stuckPoll)
	}
	l.callers.places <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.callers.places
		return nil, err
	}
	caller := &callerConn{Conn: conn, callers: l.callers}
	l.callers.mu.Lock()
	l.callers.open[caller] = true
	l.callers.mu.Unlock()
	return caller, nil
}

// Close gives the place back.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.callers.mu.Lock()
		delete(c.callers.open, c)
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
		caller.idleSince = time.Time{}
	case http.StateIdle:
		caller.active = false
		caller.idleSince = time.Now()
	}
}

// lost tells whether a request came on a connection that was closed as it
// came: it must not be passed on, since its answer could not be given.
func (c *callers) lost(ctx context.Context) bool {
	caller, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return caller.closed
}

// crowded tells whether answers should close their connections.
func (c *callers) crowded() bool {
	return float64(len(c.places)) > crowdedPart*float64(cap(c.places))
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
