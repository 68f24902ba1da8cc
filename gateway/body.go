package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/quarantine"
)

// initialAllocation is the size in bytes of the first buffer for a body or a response. Most
// fit into it. Beyond it, the router allocates memory for the bytes that have arrived, not
// for the announced length, so that a caller cannot claim memory with a header alone.
const initialAllocation = 32 << 10

// discardBodyTime bounds how long the rest of a refused body is read.
const discardBodyTime = 2 * time.Second

// errNoMemory is returned when a body or a response does not fit into the memory budget.
var errNoMemory = errors.New("the memory budget for request bodies and unread responses is exhausted")

// errStopped is the cause by which the router ends the work on a request that would not end before the router.
// It is returned for a body that had not arrived by then.
var errStopped = errors.New("the router ends")

// readBuffered reads size bytes. If size is negative, it reads to the end, but at most
// maxSize bytes. It calls grow before each allocation and fails with errNoMemory if grow
// returns false.
func readBuffered(r io.Reader, size, maxSize int64, grow func(n int) bool) ([]byte, error) {
	limit := min(maxSize, math.MaxInt64-1) + 1
	if size >= 0 {
		limit = size
	}
	var body []byte
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			next := int(min(max(2*int64(cap(body)), initialAllocation), limit))
			if !grow(next - cap(body)) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && size >= 0 && int64(len(body)) < size:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	if size < 0 {
		return nil, errTooLarge
	}
	return body, nil
}

// grow reserves memory for n more bytes of the request's body or its response, and reports
// whether that succeeded.
func (x *exchange) grow(n int) bool { return x.front.sendQueues.Grow(&x.memory, n, x.abortBodyRead) }

// abortBodyRead stops reading a body whose memory is reclaimed. The caller receives a
// response at once that the request has not run.
func (x *exchange) abortBodyRead() {
	// The response writers of tests do not support deadlines.
	_ = http.NewResponseController(x.w).SetReadDeadline(longAgo)
}

// readBody reads the caller's body, of at most maxSize bytes, before the request's
// deadline, and computes the fingerprint of the request. It returns a refusal if the body
// could not be read.
func (x *exchange) readBody(maxSize int) *refusal {
	if x.r.ContentLength == 0 {
		x.memory.Pinned = true
	} else if err := x.bufferBody(int64(maxSize)); err != nil {
		// The rest of the body, or a late abortBodyRead, would affect the next request on
		// the connection.
		x.w.Header().Set("Connection", "close")
		return bodyRefusal(err)
	}
	x.fingerprint = quarantine.FingerprintOf(x.team, x.r.Method, x.r.Host, x.r.RequestURI, x.body)
	return nil
}

// bufferBody reads the body before the request's deadline and marks its memory as not
// reclaimable.
func (x *exchange) bufferBody(maxSize int64) error {
	// The response writers of tests do not support deadlines.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(x.deadline - x.front.core.Now()))
	unwatch := context.AfterFunc(x.work, x.abortBodyRead)
	body, err := x.receiveBody(maxSize)
	if !unwatch() && x.hasStopped() {
		return errStopped
	}
	if !x.front.sendQueues.Pin(&x.memory) {
		return errNoMemory
	}
	if err != nil {
		return err
	}
	_ = control.SetReadDeadline(time.Time{}) // not supported in tests, as above
	x.body = body
	return nil
}

// receiveBody reads the body as it arrives.
func (x *exchange) receiveBody(maxSize int64) ([]byte, error) {
	// It tells net/http, which has to know the writer, of a body that is too large.
	var source io.Reader = http.MaxBytesReader(x.w.ResponseWriter, x.r.Body, maxSize)
	if caller := callerConnOf(x.ctx); caller != nil {
		source = &watchedBody{source, caller}
		defer caller.bodyReadAt.Store(0)
	}
	size := x.r.ContentLength
	if size > maxSize {
		_, err := io.Copy(io.Discard, source) // the caller may read its response only after it has sent the body
		return nil, err
	}
	body, err := readBuffered(source, size, maxSize, x.grow)
	if err != nil || size < 0 {
		return body, err
	}
	// Reading to the end lets net/http detect that the caller leaves.
	if _, err = source.Read(make([]byte, 1)); err != io.EOF {
		return body, err
	}
	return body, nil
}

// watchedBody records when a caller's body was last read.
type watchedBody struct {
	io.Reader
	caller *callerConn
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.caller.bodyReadAt.Store(int64(b.caller.conns.queues.Now()))
	return b.Reader.Read(p)
}

// bodyRefusal returns the refusal for a body that could not be read.
func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, errTooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body", 0}
	case errors.Is(err, errStopped):
		return &drainRefusal
	case errors.Is(err, errNoMemory):
		return &refusal{http.StatusServiceUnavailable, "memory", memoryRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "body_late", 0}
	}
	return &refusal{http.StatusBadRequest, "body", 0}
}

// discardBody reads the rest of a body that was refused as the router ends: unread bytes at the end of the
// process would reset the connection, and the caller might lose its response.
func (x *exchange) discardBody() {
	if !x.hasStopped() || x.r.ContentLength == 0 {
		return
	}
	_ = x.front.flush(x.w) // here and below: it fails if the caller has left
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(discardBodyTime))
	_, _ = io.Copy(io.Discard, x.r.Body)
}
