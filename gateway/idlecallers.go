package gateway

import (
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/socket"
)

// closeIdle closes connections that have been idle for longer than idleTimeout. A
// connection with bytes to read is not idle: a late router may not have read them yet.
//
// The goroutine that reads from a connection closes it, after its read has been ended here. So no
// connection is closed under a request that has been read.
func (c *callerConns) closeIdle(idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		return
	}
	for _, caller := range c.all() {
		caller.expire(idleTimeout)
	}
}

// all returns the open connections.
func (c *callerConns) all() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// setIdle sets since when the connection has been idle; zero: it is not.
func (c *callerConn) setIdle(since time.Time) {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.idleSince, c.unread = since, !since.IsZero()
}

// expire ends the pending read of a connection that has been idle for longer than idleTimeout.
func (c *callerConn) expire(idleTimeout time.Duration) {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.idleSince.IsZero() || time.Since(c.idleSince) <= idleTimeout || c.HasPending() || socket.Peek(c.Conn) == socket.Readable {
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(longAgo) // it fails on a closed connection
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.hasRequest() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.endIdle()
	}
	return n, err
}

// hasRequest reports whether a request arrived on an idle or a new connection just as its read was
// ended. The read may then be repeated.
func (c *callerConn) hasRequest() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if !c.unread || socket.Peek(c.Conn) != socket.Readable {
		return false
	}
	c.clearExpiry()
	return true
}

// endIdle records that a request has begun to arrive.
func (c *callerConn) endIdle() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.idleSince, c.unread = time.Time{}, false
	if c.expired {
		c.clearExpiry()
	}
}

// clearExpiry replaces the deadline that has passed. c.idleMu is held. The http.Server sets its own again
// when it has read the beginning of the request.
func (c *callerConn) clearExpiry() {
	c.expired = false
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout)) // it fails on a closed connection
}
