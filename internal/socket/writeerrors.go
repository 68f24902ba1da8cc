package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// KeepWriteErrors returns a connection whose reads return the error of a write that has met its failure, in place of a
// plain end. What is written to a peer that has ended its side in order, and reads no more, is dropped. It is for
// connections that are read and written at the same time.
func KeepWriteErrors(conn net.Conn) net.Conn { return &duplexConn{Conn: conn} }

type duplexConn struct {
	net.Conn
	writing sync.Mutex // held by each write
	failure error      // that a write has met
}

// Write implements net.Conn. net/http closes a connection whose write fails, also if a response has arrived on it.
func (c *duplexConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.EPIPE) && c.failure == nil {
		return len(p), nil
	}
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the connection failed, by the error of a write.
func isFailure(err error) bool {
	return err != nil && !errors.IsAny(err, net.ErrClosed, os.ErrDeadlineExceeded)
}

// Read implements net.Conn.
func (c *duplexConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF || StateOf(c.Conn) == StatePeerClosed {
		return n, err
	}
	c.writing.Lock() // a write that has met a failure returns at once
	defer c.writing.Unlock()
	if c.failure != nil {
		err = c.failure
	}
	return n, err
}
