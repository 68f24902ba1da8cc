package sendqueue

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/memory"
	"golang.org/x/sys/unix"
)

// closeTimeout bounds how long a closed connection without a deadline goes on sending its queue.
const closeTimeout = 10 * time.Second

// Reasons for closing a connection before its caller has read everything.
var (
	// ErrNoMemory means that the memory budget is used up and that this caller's team holds the
	// most of it.
	ErrNoMemory = errors.New("the caller does not read, and the memory for unread responses is used up")
	// ErrStalled means that the caller neither read nor sent for a while and that a new caller
	// needed its slot.
	ErrStalled = errors.New("the caller neither reads nor sends, and another caller needs its slot")
)

// Conn is a caller's connection whose writes are queued, so that they do not block on a caller that
// does not read. Reads go to the underlying connection.
type Conn struct {
	net.Conn
	queues  *Queues
	account *memory.Account
	onClose func()

	mu       sync.Mutex
	queue    []byte        // data to send, in order
	sending  bool          // the goroutine that runs send is active
	closing  bool          // Close was called
	closed   bool          // the underlying connection is closed
	err      error         // returned by all further writes
	deadline time.Time     // write deadline; zero if there is none
	progress chan struct{} // receives a value when the caller accepts data
	// lastProgress is when the caller last accepted queued data, in nanoseconds since the creation
	// of the Queues; 0 if the queue is empty.
	lastProgress atomic.Int64
}

// SetTeam sets the team whose requests arrive on the connection from now on. While data of earlier
// requests is queued, the connection stays with their team.
func (c *Conn) SetTeam(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sending {
		c.account.Team = team
	}
}

// SyscallConn returns the raw connection of the underlying socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is not a socket")
	}
	return system.SyscallConn()
}

// SetWriteDeadline sets the time until which written data may wait for the caller to read it.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write sends p and queues what the socket does not accept at once.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := 0
	if !c.sending && c.err == nil {
		sent, c.err = c.sendNow(p)
	}
	if c.err != nil || sent == len(p) {
		return sent, c.err
	}
	c.waitForSpace(len(p) - sent)
	if c.err != nil {
		return sent, c.err
	}
	return c.enqueue(p, sent)
}

// sendNow sends as much of p as the socket accepts without blocking, and returns its length.
func (c *Conn) sendNow(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, nil // p is queued instead
	}
	sent := 0
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		sent, writeErr = unix.Write(int(fd), p)
		return true
	})
	sent = max(sent, 0)
	switch {
	case err != nil:
		return sent, err
	case writeErr == unix.EAGAIN || writeErr == unix.EINTR:
		return sent, nil
	}
	return sent, writeErr
}

// StalledFor returns how long the caller has accepted no queued data; 0 if the queue is empty.
func (c *Conn) StalledFor() time.Duration {
	last := c.lastProgress.Load()
	if last == 0 {
		return 0
	}
	return c.queues.Now() - time.Duration(last)
}

// HasPending reports whether data waits to be sent.
func (c *Conn) HasPending() bool { return c.lastProgress.Load() != 0 }

// Abort closes the connection without sending the queue. cause is reported as the error.
func (c *Conn) Abort(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(cause)
}

// SetResetOnClose sets whether the connection is reset when it closes, or when the process ends. Its caller then sees no
// end of a response.
func (c *Conn) SetResetOnClose(reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger) // it fails on a closed connection
	}
}

// Close returns at once. The connection closes when its queue has been sent or its write deadline
// has passed.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.sending || c.err != nil {
		return c.closeNow()
	}
	if c.deadline.IsZero() {
		return c.Conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	}
	return nil
}

// fail closes the connection with an error and reports it to onUnread. c.mu is held.
func (c *Conn) fail(err error) {
	first := c.err == nil
	unread := UnreadResponse{Team: c.account.Team, BytesLeft: len(c.queue), Stalled: c.StalledFor(), Err: err}
	if first {
		c.err = err
	}
	c.queue = nil
	// Discard what the kernel still buffers of a response that is cut off.
	c.SetResetOnClose(true)
	_ = c.closeNow() // err holds the cause
	if first {
		// Reported last, so that the memory of the response is free when onUnread runs.
		c.queues.onUnread(unread)
	}
}

// closeNow closes the underlying connection and the memory account. c.mu is held.
func (c *Conn) closeNow() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.queues.Close(c.account)
	err := c.Conn.Close()
	c.onClose()
	return err
}
