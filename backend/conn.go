package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/httpstatus"
	"github.com/croftvale/croftvale/internal/socket"
)

// ErrWrongResponse means that a connection returned only responses to other requests.
var ErrWrongResponse = errors.New("the connection returned a response to another request")

// maxStaleResponses is the largest number of responses to earlier requests that ReadResponse skips.
const maxStaleResponses = 2

// maxStaleBodyBytes is the size of the largest response body that ReadResponse skips.
const maxStaleBodyBytes = 1 << 20

// Conn is a connection to a backend server. It serves one request at a time.
type Conn struct {
	net.Conn
	pool      *Pool
	address   string
	head      *headReader
	reader    *bufio.Reader // reads from head
	serverID  string        // of the server that was listed at the address when the connection was opened
	openedAt  time.Time
	idleUntil time.Time
	response  *http.Response
	sent      bool
	reused    bool // it has served a request before
	spoiled   bool // it has ended, or had bytes that belong to no request, while it was idle
	start     serverStart
	progress  *progressTime // of the server, shared by its connections
}

// Request is an HTTP request as it is written to a connection.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes a request. The error is marked with ErrUnsent if no byte was sent.
func (c *Conn) Send(r *Request) error {
	var head strings.Builder
	head.Grow(1 << 10)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return errors.Mark(err, ErrUnsent)
	}
	if len(r.Body) > 0 || expectsBody(r.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{[]byte(head.String()), r.Body}
	n, err := buffers.WriteTo(c.Conn)
	c.sent = n > 0
	c.head.end.record(err, true)
	if err != nil && !c.sent {
		return errors.Mark(err, ErrUnsent)
	}
	return err
}

func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// ReadResponse returns the first response for which matches reports true. It skips
// informational responses and responses to earlier requests, which a server may send late.
func (c *Conn) ReadResponse(method string, matches func(*http.Response) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxStaleResponses + 1 {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if matches(response) {
			c.response = response
			c.CountProgress()
			return response, nil
		}
		if response.Close {
			break
		}
		if c.skipBody(response) != nil {
			break
		}
	}
	return nil, ErrWrongResponse
}

// CountProgress records that the server has sent a part of the response that can be used, such as an event
// of a stream. The head counts by itself.
func (c *Conn) CountProgress() {
	c.head.unfinished.Store(0)
	c.progress.record()
}

// IsEnding reports whether the server has closed its side of the connection, also if data that it sent before has not
// been read.
func (c *Conn) IsEnding() bool { return socket.IsEnding(c.Conn) }

// HasUnfinished reports whether bytes have come since the last progress that finish no part of a response.
// A sound server sends them only for a moment; it may be called at any time.
func (c *Conn) HasUnfinished() bool { return c.head.unfinished.Load() > 0 }

// readHead reads the head of a response. It returns ErrHeadTooLarge for one beyond maxHeadBytes,
// ErrHeadTooSlow for one beyond maxHeadTime, ErrCodedOldProtocol and httpstatus.ErrInvalid.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.head.limit(maxHeadBytes)
	defer c.head.unlimit()
	if err := awaitProtocol(c.reader); err != nil {
		return nil, err
	}
	response, err := c.parseHead(request)
	if err == nil {
		err = httpstatus.Check(response.StatusCode)
	}
	if err != nil {
		return nil, err
	}
	return response, nil
}

// parseHead parses the head of a response. It returns ErrCodedOldProtocol for a transfer coding under HTTP/1.0.
func (c *Conn) parseHead(request *http.Request) (*http.Response, error) {
	if !isOldProtocol(c.reader) {
		return http.ReadResponse(c.reader, request)
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.head.record(buffered)
	response, err := http.ReadResponse(c.reader, request)
	data := c.head.takeRecord()
	if err != nil {
		return nil, err
	}
	return response, checkOldHead(data)
}

// skipBody reads the body of a stale response to its end, within the limits.
func (c *Conn) skipBody(response *http.Response) error {
	c.head.limitBody(maxStaleBodyBytes)
	defer c.head.unlimit()
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// Release returns the connection to the pool after the response was read to its end. It
// closes the connection if unread bytes remain or the server asked to close it.
func (c *Conn) Release() {
	response := c.response
	if c.EndExchange() != nil {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idleTimeout(response.Header.Get("Keep-Alive")))
	c.reused = true
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.pool.put(c)
}

// idleTimeout returns how long an idle connection is kept, from the server's Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		return min(time.Duration(seconds)*time.Second, maxIdleTime) - idleMargin
	}
	return maxIdleTime - idleMargin
}

// isReusable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive while no request is pending belong to no request. The pool is the reader of its idle
// connections, and the caller their only user.
func (c *Conn) isReusable() bool {
	if c.spoiled || c.reader.Buffered() > 0 {
		return false
	}
	var stray [1]byte
	n, err := socket.ReadNow(c.Conn, stray[:])
	if n == 0 && errors.Is(err, syscall.EAGAIN) {
		return true
	}
	c.spoiled = true
	c.head.end.record(err, false)
	return false
}
