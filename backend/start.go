package backend

import "github.com/cockroachdb/errors"

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

// MarkAsked records that the server is asked for its start.
func (c *Conn) MarkAsked() { c.start.asked = true }

// SetServerStart records the start that the server has told, as Unix time in milliseconds.
func (c *Conn) SetServerStart(millis int64) { c.start.told, c.start.millis = true, millis }

// ServerStart returns the start that the server has told on this connection, if it has.
func (c *Conn) ServerStart() (millis int64, told bool) { return c.start.millis, c.start.told }

// AdoptStart takes over what the server has told on another connection, which it closed afterwards.
func (c *Conn) AdoptStart(from *Conn) { c.start = from.start }

// EndExchange makes the connection ready for another request after a response was read to its end, or
// returns ErrClosing.
func (c *Conn) EndExchange() error {
	if c.response == nil || c.response.Close || c.reader.Buffered() > 0 {
		return ErrClosing
	}
	c.response, c.sent = nil, false
	return nil
}
