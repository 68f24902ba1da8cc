package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/socket"
)

// ErrWrongResponse says that a connection brought answers to other requests only.
var ErrWrongResponse = errors.New("the connection brought an answer to another request")

// maxStaleResponses is how many answers to earlier requests are passed over.
const maxStaleResponses = 2

// maxStaleBodyBytes bounds the body of an answer that is passed over.
const maxStaleBodyBytes = 1 << 20

// Conn is one connection to a backend server; it serves one request at a time.
type Conn struct {
	net.Conn
	pool      *Pool
	address   string
	reader    *bufio.Reader
	idleUntil time.Time
	response  *http.Response
	sent      bool
}

// Request is what is sent, in the form of the wire.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes a request. The error is marked ErrUnsent where no byte has left.
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
	if err != nil && !c.sent {
		return errors.Mark(err, ErrUnsent)
	}
	return err
}

func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// ReadResponse reads the answer that mine accepts. Answers to earlier requests, which
// a server may send late, are passed over.
func (c *Conn) ReadResponse(method string, matches func(*http.Response) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxStaleResponses + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if matches(response) {
			c.response = response
			return response, nil
		}
		if response.Close {
			break
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStaleBodyBytes); err != io.EOF {
			break
		}
	}
	return nil, ErrWrongResponse
}

// Release keeps the connection for the next request after a whole answer. It
// closes one that has more to say, or whose server wants it closed.
func (c *Conn) Release() {
	if c.response == nil || c.response.Close || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idleTimeout(c.response.Header.Get("Keep-Alive")))
	c.response = nil
	c.sent = false
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.pool.put(c)
}

// idleTimeout reads how long a server keeps an idle connection.
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

// isReusable tells whether an idle connection is open and has nothing to read: bytes
// that come without a request belong to no request.
func (c *Conn) isReusable() bool {
	return c.reader.Buffered() == 0 && socket.Peek(c.Conn) == socket.Idle
}
