package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// idleMost is how long a connection is kept without use where the server
	// does not say.
	maxIdleTime = 20 * time.Second
	// idleMargin is taken off the time that a server states.
	idleMargin = 1200 * time.Millisecond
	// readSize is the buffer of a connection.
	readBufferSize = 4 << 10
)

// ErrUnsent marks an attempt of which no byte has left.
var ErrUnsent = errors.New("nothing was sent to the backend server")

// ErrRouterLate marks an attempt to connect that was given up long after its time: this process did not
// get to run, so that it says nothing of the backend server.
var ErrRouterLate = errors.New("this process ran too late to connect")

// dialTimeoutSlack is how long after its time an attempt to connect is given up at the most where the
// process gets to run.
const dialTimeoutSlack = 30 * time.Millisecond

// Options bound what connections may take.
type Options struct {
	DialTimeout       time.Duration // for a new connection
	AckTimeout        time.Duration // after which a peer that acknowledges nothing is lost
	MaxIdlePerAddress int           // kept connections of one address
}

// Pool keeps idle connections by address.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, idle: make(map[string][]*Conn)}
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
				// Where it fails, keep-alive probes find a silent peer later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.AckTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// Get returns a connection to an address, a kept one where one is sound.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if time.Now().Before(c.idleUntil) && c.isReusable() {
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

// Dial opens a new connection to an address, within the time that the options allow. An
// error is marked with ErrUnsent, and with ErrOverdue where this process ran late.
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
	return &Conn{Conn: raw, pool: p, address: address, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
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

// Sweep closes what has been idle too long, and everything to addresses that
// are no longer wanted.
func (p *Pool) Sweep(wanted func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) || !wanted(address) {
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
}
