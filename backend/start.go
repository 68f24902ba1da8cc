package backend

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosing means that the server closes the connection after the response that was read.
var ErrClosing = errors.New("the backend server closes the connection after this response")

// serverStart is what a server has told of its start. A connection leads to one process for as long as it
// lasts, so this stays valid.
type serverStart struct {
	asked  bool
	told   bool
	millis int64
}

// IsReused reports whether the connection has served a request before.
func (c *Conn) IsReused() bool { return c.reused }

// HasBeenAsked reports whether the server was asked for its start on this connection.
func (c *Conn) HasBeenAsked() bool { return c.start.asked }

// MarkAsked records that the server was asked for its start.
func (c *Conn) MarkAsked() { c.start.asked = true }

// SetServerStart records the start that the server has told, as Unix time in milliseconds.
func (c *Conn) SetServerStart(millis int64) {
	c.start = serverStart{asked: true, told: true, millis: millis}
	c.pool.recordStart(c.address, millis)
}

// ServerStart returns the start that the server has told on this connection, if it has.
func (c *Conn) ServerStart() (millis int64, told bool) { return c.start.millis, c.start.told }

// toldStart is the start that a server at an address has told last.
type toldStart struct {
	millis int64
	since  time.Time // when it was first told
}

// StartBefore returns the start of the server that a connection leads to, as far as others have told it: the last one
// that was told at its address, if that was before the connection was opened.
func (p *Pool) StartBefore(c *Conn) (millis int64, told bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, told := p.starts[c.address]
	return last.millis, told && last.since.Before(c.openedAt)
}

func (p *Pool) recordStart(address string, millis int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, told := p.starts[address]; !told || last.millis != millis {
		p.starts[address] = toldStart{millis: millis, since: time.Now()}
	}
}

// EndExchange makes the connection ready for another request after a response was read to its end, or
// returns ErrClosing.
func (c *Conn) EndExchange() error {
	if c.response == nil || c.response.Close || c.reader.Buffered() > 0 {
		return ErrClosing
	}
	c.response, c.sent = nil, false
	return nil
}
