package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/wire"
)

// Errors that end a link.
var (
	// ErrNoHello means that the peer is not a croftvale process.
	ErrNoHello = errors.New("peer sent no hello; check that the address is a control address")
	// ErrTooSlow means that the peer does not read its messages fast enough.
	ErrTooSlow = errors.New("peer does not read its messages; the link is closed and will be dialled again")
)

// Conn is a control link. Its methods may be called from any goroutine, but its name
// tables may be used only by the goroutine that handles the link's events.
type Conn struct {
	Peer     wire.Hello // the peer's first message
	Remote   string
	OutNames wire.SentNames     // numbers of names in messages to the peer
	InNames  wire.ReceivedNames // numbers of names in messages from the peer

	raw           net.Conn
	opts          Options
	lastSendNanos atomic.Int64 // when Send last queued a message, in Unix nanoseconds
	queue         chan wire.Message
	closeOnce     sync.Once
	closed        chan struct{}
	err           error
}

// Dial connects to a control address and runs the link until it fails or ctx ends. It
// returns the reason why the link ended.
func Dial(ctx context.Context, address string, opts Options) error {
	raw, err := opts.dial()(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "dial %s", address)
	}
	return serve(ctx, opts.client(raw), opts)
}

// serve exchanges hellos and runs a link over an open connection.
func serve(ctx context.Context, raw net.Conn, opts Options) error {
	c := &Conn{
		Remote: raw.RemoteAddr().String(),
		raw:    raw,
		opts:   opts,
		queue:  make(chan wire.Message, sendQueueSize),
		closed: make(chan struct{}),
	}
	defer c.Close(nil)
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	defer stop()
	r := bufio.NewReader(raw)
	if err := c.hello(r); err != nil {
		return err
	}
	go c.write()
	opts.Events <- Event{Conn: c, Kind: EventUp}
	err := c.read(r)
	c.Close(err)
	opts.Events <- Event{Conn: c, Kind: EventDown}
	return c.err
}

// hello sends the hello of this process and reads the peer's.
func (c *Conn) hello(r *bufio.Reader) error {
	frame, err := wire.Encode(c.opts.Hello())
	if err != nil {
		return err
	}
	_ = c.raw.SetDeadline(time.Now().Add(c.opts.timeout())) // errors ignored here and below: the next use of a closed connection fails
	if _, err := c.raw.Write(frame); err != nil {
		return errors.Wrap(err, "send hello")
	}
	m, _, err := wire.Read(r)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read hello"), ErrNoHello)
	}
	h, ok := m.(wire.Hello)
	if !ok {
		return ErrNoHello
	}
	if err := checkIdentity(c.raw, h); err != nil {
		return err
	}
	c.Peer = h
	return c.raw.SetDeadline(time.Time{})
}

// SendNamed sends the names that are new to the peer, then a message that uses numbers of
// OutNames. It reports whether all were queued.
func (c *Conn) SendNamed(m wire.Message) bool {
	for _, n := range c.OutNames.TakeUnsent() {
		if !c.Send(n) {
			return false
		}
	}
	return c.Send(m)
}

// Send queues a message for the writer and reports whether it did. It never blocks: a link
// whose queue is full is closed.
func (c *Conn) Send(m wire.Message) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- m:
		c.lastSendNanos.Store(time.Now().UnixNano())
		return true
	default:
		c.Close(ErrTooSlow)
		return false
	}
}

// HeartbeatDue reports whether no message was sent for so long that a heartbeat must be
// sent now, so that the peer receives a message in each interval.
func (c *Conn) HeartbeatDue(interval time.Duration) bool {
	return time.Now().UnixNano()-c.lastSendNanos.Load() > int64(interval-MinHeartbeatInterval/4)
}

// Close ends the link and records the reason. Later calls do nothing.
func (c *Conn) Close(reason error) {
	c.closeOnce.Do(func() {
		c.err = reason
		close(c.closed)
		_ = c.raw.Close() // reason explains more than this error
	})
}

// write sends queued messages and flushes whenever the queue is empty.
func (c *Conn) write() {
	w := bufio.NewWriter(c.raw)
	for {
		select {
		case <-c.closed:
			return
		case m := <-c.queue:
			if err := c.writeOne(w, m); err != nil {
				c.Close(err)
				return
			}
		}
	}
}

func (c *Conn) writeOne(w *bufio.Writer, m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.opts.timeout()))
	if _, err := w.Write(frame); err != nil {
		return err
	}
	c.opts.Meter.sent(m.Type(), len(frame))
	if len(c.queue) > 0 {
		return nil
	}
	return w.Flush()
}

// read delivers messages until the link ends or the peer is silent for too long.
func (c *Conn) read(r *bufio.Reader) error {
	readTimeout := c.opts.timeout()
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(readTimeout))
		m, n, err := wire.Read(r)
		if errors.Is(err, wire.ErrUnknownType) {
			continue // from a newer release; this process does not need it
		}
		if err != nil {
			return err
		}
		c.opts.Meter.read(m.Type(), n)
		if h, ok := m.(wire.Heartbeat); ok {
			readTimeout = max(c.opts.timeout(), maxMissedHeartbeats*time.Duration(h.Every)*time.Millisecond)
		}
		c.opts.Events <- Event{Conn: c, Kind: EventMessage, Msg: m}
	}
}
