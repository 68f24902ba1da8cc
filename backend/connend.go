package backend

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/socket"
)

// EndEvent is the event by which a connection ended, as the error of a read or a write told it.
type EndEvent int

// The events that end a connection.
const (
	NotEnded       EndEvent = iota
	EndedByPeer             // the server closed its side in order
	EndedByReset            // the server, or something on the way to it, broke off
	EndedByTimeout          // the server's host acknowledged nothing any more
	EndedHere               // this process closed it
	EndedOtherwise
)

// String returns the name of the event for logs.
func (e EndEvent) String() string {
	return [...]string{"none", "peer_closed", "reset", "timed_out", "closed_here", "other"}[e]
}

// ConnEnd tells how a connection ended. The zero value is that of a connection that has not ended, as far as reads and
// writes have shown.
type ConnEnd struct {
	Event EndEvent
	// OnWrite is set if a write met the end before any read did.
	OnWrite bool
	err     error
}

// endOf returns how a connection ended if a read or a write of it returned err.
func endOf(err error) EndEvent {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return NotEnded
	case errors.Is(err, io.EOF):
		return EndedByPeer
	case errors.Is(err, net.ErrClosed):
		return EndedHere
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndedByReset
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return EndedByTimeout
	}
	return EndedOtherwise
}

// record records the error of a read or a write if it is the first that ended the connection, and reports whether it is.
func (e *ConnEnd) record(err error, onWrite bool) bool {
	event := endOf(err)
	if e.Event != NotEnded || event == NotEnded {
		return false
	}
	*e = ConnEnd{event, onWrite, err}
	return true
}

// ofRead returns the error for a read that returned err. The system tells a failure once: what comes after it looks like
// the end of a response, and is none.
func (e *ConnEnd) ofRead(err error) error {
	if err == io.EOF && e.err != nil {
		return e.err
	}
	return err
}

// End returns how the connection ended, as its reads and writes told.
func (c *Conn) End() ConnEnd { return c.head.end }

// State returns the state of the connection as the system keeps it.
func (c *Conn) State() socket.State { return socket.StateOf(c.Conn) }
