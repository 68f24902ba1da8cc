package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/quarantine"
)

// firstPiece is what is allocated at first for a body or an answer. Most fit; of a larger one
// the router holds about what has come and not what was announced, so that a caller can't
// take its memory by a header.
const firstPiece = 32 << 10

// errNoMemory says that what came can't be held beside what the router holds already.
var errNoMemory = errors.New("the memory for bodies and unread answers is used up")

// readHeld reads size bytes, or where size is negative to the end, of at most most bytes. grow is
// asked before more is allocated.
func readHeld(r io.Reader, size, most int64, grow func(n int) bool) ([]byte, error) {
	limit := most + 1
	if size >= 0 {
		limit = size
	}
	var body []byte
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			next := int(min(max(2*int64(cap(body)), firstPiece), limit))
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
		return nil, errSpoiled
	}
	return body, nil
}

// grow asks for memory for n bytes more of the request's body or its answer.
func (x *exchange) grow(n int) bool { return x.front.queues.Grow(&x.memory, n, x.dropBody) }

// dropBody ends the reading of a body that must give way: its caller is told at once that the
// request has not run.
func (x *exchange) dropBody() {
	// Test writers have no deadlines.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0))
}

// readBody reads the caller's body, of at most most bytes, within the request's time.
func (x *exchange) readBody(most int) *refusal {
	if x.r.ContentLength == 0 {
		x.memory.Pinned = true
	} else if err := x.takeBody(int64(most)); err != nil {
		// What is left of the body, or a late dropBody, would meet the next request.
		x.w.Header().Set("Connection", "close")
		return bodyRefusal(err)
	}
	x.content = quarantine.FingerprintOf(x.team, x.r.Method, x.r.Host, x.r.RequestURI, x.body)
	return nil
}

// takeBody reads the body, and has it give no way any more.
func (x *exchange) takeBody(most int64) error {
	// Test writers have no deadlines.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(x.deadline - x.front.core.Now()))
	body, err := x.receive(most)
	if !x.front.queues.Pin(&x.memory) {
		return errNoMemory
	}
	if err != nil {
		return err
	}
	_ = control.SetReadDeadline(time.Time{}) // as above
	x.body = body
	return nil
}

// receive reads the body as it comes.
func (x *exchange) receive(most int64) ([]byte, error) {
	var source io.Reader = http.MaxBytesReader(x.w, x.r.Body, most)
	if caller := callerOf(x.ctx); caller != nil {
		source = &watchedBody{source, caller}
		defer caller.bodyAt.Store(0)
	}
	size := x.r.ContentLength
	if size > most {
		_, err := io.Copy(io.Discard, source) // the caller may only read its answer after that
		return nil, err
	}
	body, err := readHeld(source, size, most, x.grow)
	if err != nil || size < 0 {
		return body, err
	}
	// Reading to the end lets the server notice when the caller leaves.
	if _, err = source.Read(make([]byte, 1)); err != io.EOF {
		return body, err
	}
	return body, nil
}

// watchedBody notes when a caller sends more of its body.
type watchedBody struct {
	io.Reader
	caller *callerConn
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.caller.bodyAt.Store(int64(b.caller.callers.queues.Now()))
	return b.Reader.Read(p)
}

// bodyRefusal is how a request ends whose body could not be read.
func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, errSpoiled):
		return &refusal{http.StatusRequestEntityTooLarge, "body", 0}
	case errors.Is(err, errNoMemory):
		return &refusal{http.StatusServiceUnavailable, "memory", memoryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "body_late", 0}
	}
	return &refusal{http.StatusBadRequest, "body", 0}
}
