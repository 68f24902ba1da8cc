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

// closeTimeout is how long a closed connection without a deadline sends what still waits.
const closeTimeout = 10 * time.Second

// Why a connection was closed before its caller had read everything.
var (
	// ErrNoMemory means that the memory for unread answers is used up, and that this caller's
	// team holds most of it.
	ErrNoMemory = errors.New("the caller does not read, and the memory for unread answers is used up")
	// ErrStalled means that the caller neither read nor sent for a while, and that a new one needed
	// its place.
	ErrStalled = errors.New("the caller neither reads nor sends, and another one needs its place")
)

// Conn is a caller's connection whose writes wait for no reader. Its reads are those of the
// connection below.
type Conn struct {
	net.Conn
	queues  *Queues
	account *memory.Account
	onClose func()

	mu       sync.Mutex
	queue    []byte // what waits to be sent, in order
	sending  bool   // send runs
	closing  bool   // Close was called
	closed   bool   // the connection below is closed
	err      error  // of all further writes
	deadline time.Time
	progress chan struct{} // sent on when the caller takes something
	// moved is when the caller last took something of what waits, in nanoseconds since the
	// queues were made; 0: nothing waits.
	lastProgress atomic.Int64
}

// SetTeam says whose requests come over the connection from now on. What waits of earlier ones
// stays with their team.
func (c *Conn) SetTeam(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sending {
		c.account.Team = team
	}
}

// SyscallConn returns the socket below.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is no socket")
	}
	return system.SyscallConn()
}

// SetWriteDeadline bounds how long what is written may wait for its reader.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write sends, and keeps what the caller does not take at once.
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

// sendNow sends what the socket takes without waiting.
func (c *Conn) sendNow(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, nil // send does it
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

// StalledFor is for how long the caller has taken nothing of what waits for it; 0 where nothing
// does.
func (c *Conn) StalledFor() time.Duration {
	last := c.lastProgress.Load()
	if last == 0 {
		return 0
	}
	return c.queues.Now() - time.Duration(last)
}

// HasPending tells whether something waits to be sent.
func (c *Conn) HasPending() bool { return c.lastProgress.Load() != 0 }

// Drop closes the connection without sending what waits, for a cause that is logged.
func (c *Conn) Abort(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(cause)
}

// Close closes the connection once what waits has been sent, or its time is over.
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

// fail ends the connection with an error; c.mu is held.
func (c *Conn) fail(err error) {
	first := c.err == nil
	unread := UnreadResponse{Team: c.account.Team, BytesLeft: len(c.queue), Stalled: c.StalledFor(), Err: err}
	if first {
		c.err = err
	}
	c.queue = nil
	// What the system holds of an answer that ends early must not be kept either.
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed anyway
	}
	_ = c.closeNow() // err says why it ends
	if first {
		// Told last, so that whoever is told finds the memory of the answer free.
		c.queues.onUnread(unread)
	}
}

// end closes the connection below; c.mu is held.
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
