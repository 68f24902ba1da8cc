package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crowdedPart is the part of the connections that may be held from which
	// answers close theirs.
	crowdedPart = 0.6
)

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	idleSince time.Time // zero while a request is under way
	closed    bool      // by this router, while it was at rest
}

// callers keeps account of the connections that callers hold, so that those at
// rest make room for new ones.
type callers struct {
	most int
	mu   sync.Mutex
	open map[net.Conn]*callerConn
}

func newCallers(most int) *callers {
	return &callers{most: most, open: make(map[net.Conn]*callerConn)}
}

// callerKey is the context key of a request's connection.
type callerKey struct{}

// context is the http.Server's ConnContext.
func (c *callers) context(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	caller := &callerConn{Conn: conn}
	c.open[conn] = caller
	return context.WithValue(ctx, callerKey{}, caller)
}

// state is the http.Server's ConnState.
func (c *callers) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	caller := c.open[conn]
	switch {
	case caller == nil:
	case s == http.StateActive:
		caller.idleSince = time.Time{}
	case s == http.StateIdle:
		caller.idleSince = time.Now()
	case s == http.StateClosed || s == http.StateHijacked:
		delete(c.open, conn)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.open)) > crowdedPart*float64(c.most)
}

// sweep closes connections that have been at rest longer than rest. It must be
// longer than callers resume them: a request that comes as its connection is
// closed is lost to a caller whose bytes a late router has not read yet.
func (c *callers) sweep(rest time.Duration) {
	if rest <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, caller := range c.open {
		if !caller.closed && !caller.idleSince.IsZero() && time.Since(caller.idleSince) > rest {
			caller.closed = true
			_ = caller.Close()
		}
	}
}
