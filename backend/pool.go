package backend

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxIdleTime is the keep-alive timeout of a server that states none, and the
	// upper limit for a stated one.
	maxIdleTime = 20 * time.Second
	// idleMargin is subtracted from the keep-alive timeout, so that the router drops
	// a connection before the server closes it.
	idleMargin = 1200 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// ErrUnsent marks an attempt that sent no byte of its request.
var ErrUnsent = errors.New("nothing was sent to the backend server")

// ErrRouterLate marks a dial that failed long after its timeout. This process got no processor
// time, so the failure is no evidence about the backend server.
var ErrRouterLate = errors.New("dial failed long after its timeout: this process got no processor time")

// dialTimeoutSlack is how far a dial may overrun its timeout before ErrRouterLate marks its error.
// A process that gets processor time stays within it.
const dialTimeoutSlack = 30 * time.Millisecond

// Options limits the connections of a Pool.
type Options struct {
	DialTimeout       time.Duration // time limit for opening a connection
	AckTimeout        time.Duration // how long a peer may acknowledge nothing before it counts as lost
	MaxIdlePerAddress int           // limit of idle connections to one address
	// Now returns the time for ProgressSince; nil: the time since the pool was made.
	Now func() time.Duration
}

// progressTime is when the server at an address last made progress with a response.
type progressTime struct {
	now func() time.Duration
	at  atomic.Int64 // nanoseconds
}

func (t *progressTime) record() { t.at.Store(int64(t.now())) }

// Pool keeps idle connections by address.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[string][]*Conn
	// progress is when a server last made progress with a response, by address.
	progress  map[string]*progressTime
	starts    map[string]toldStart // by address
	sentinels map[string]*sentinel
	teardowns map[string]*teardownSigns // by address
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	p := &Pool{
		options: o, idle: make(map[string][]*Conn), progress: make(map[string]*progressTime), starts: make(map[string]toldStart),
		sentinels: make(map[string]*sentinel), teardowns: make(map[string]*teardownSigns),
	}
	p.dialer = net.Dialer{
		Timeout:   o.DialTimeout,
		KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     o.AckTimeout,
			Interval: o.AckTimeout / 2,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// If this fails, keep-alive probes detect a silent peer later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.AckTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// Get returns a connection to the server that is listed with an ID at an address: an idle one that is still usable, or
// else a new one. A connection that was opened while another ID was listed there may lead to a former process, which
// still ends what it has.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			c, err := p.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			c.serverID = id
			return c, nil
		}
		if c.serverID == id && time.Now().Before(c.idleUntil) && c.isReusable() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// HoldsSince reports whether the server at an address still holds an idle connection that was open before a point in
// time.
func (p *Pool) HoldsSince(address string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *Conn) bool { return c.openedAt.Before(t) && c.isReusable() })
}

// Dial opens a new connection to an address within DialTimeout. An error is marked with
// ErrUnsent, and also with ErrRouterLate if this process ran late.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	start := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		err = errors.Mark(err, ErrUnsent)
		if time.Since(start) > p.options.DialTimeout+dialTimeoutSlack {
			err = errors.Mark(err, ErrRouterLate)
		}
		return nil, err
	}
	head := &headReader{source: raw}
	return &Conn{
		Conn: raw, pool: p, openedAt: time.Now(), address: address, head: head, reader: bufio.NewReaderSize(head, readBufferSize), progress: p.progressOf(address),
	}, nil
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.options.MaxIdlePerAddress {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CountBreak records that the server has ended a connection amid a response whose framing shows it, or before it.
func (p *Pool) CountBreak(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teardownOf(c.address).add(teardownSign{at: time.Now(), openedAt: c.openedAt})
}

// dropEnded closes idle connections to an address that the server has ended, and returns them. The caller holds mu.
func (p *Pool) dropEnded(address string) []*Conn {
	var ended []*Conn
	p.idle[address] = slices.DeleteFunc(p.idle[address], func(c *Conn) bool {
		if c.isReusable() {
			return false
		}
		c.Close()
		ended = append(ended, c)
		return true
	})
	return ended
}

// teardownOf returns the signs of the server at an address. The caller holds mu.
func (p *Pool) teardownOf(address string) *teardownSigns {
	signs := p.teardowns[address]
	if signs == nil {
		signs = new(teardownSigns)
		p.teardowns[address] = signs
	}
	return signs
}

// ProgressSince reports whether the server at an address has responded on any connection of the pool, or
// gone on with a response, after a point in time; see Conn.CountProgress. Bytes that are no response are no
// progress.
func (p *Pool) ProgressSince(address string, since time.Duration) bool {
	return time.Duration(p.progressOf(address).at.Load()) > since
}

func (p *Pool) progressOf(address string) *progressTime {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.progress[address]
	if t == nil {
		t = &progressTime{now: p.options.Now}
		p.progress[address] = t
	}
	return t
}

// Sweep closes connections that have been idle too long or cannot be used again, and all idle
// connections to addresses that are no longer wanted. A faulty server may go on sending after its
// response, until the connection is closed.
func (p *Pool) Sweep(wanted func(address string) bool) {
	for _, address := range p.addresses() {
		p.sweepAddress(address, wanted(address))
	}
}

// addresses returns the addresses that the pool holds anything of.
func (p *Pool) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]string, 0, len(p.progress))
	for address := range p.progress {
		all = append(all, address)
	}
	for address := range p.idle {
		if p.progress[address] == nil {
			all = append(all, address)
		}
	}
	return all
}

func (p *Pool) sweepAddress(address string, wanted bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !wanted {
		delete(p.progress, address)
		delete(p.starts, address)
		delete(p.teardowns, address)
	}
	list := p.idle[address]
	kept := list[:0]
	for _, c := range list {
		if !wanted || now.After(c.idleUntil) || !c.isReusable() {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(list[len(kept):])
	p.idle[address] = kept
	if len(kept) == 0 {
		delete(p.idle, address)
	}
}
