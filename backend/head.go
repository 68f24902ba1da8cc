package backend

import (
	"bufio"
	"bytes"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// maxHeadBytes bounds the status line and the headers of a response, including what its first read
	// takes of the body.
	maxHeadBytes = 64 << 10
	// maxHeadTime bounds the time from the first bytes of a head to its last ones, or for a stale response to
	// the last ones of its body.
	// Silence alone never exceeds it: a sound server may pause.
	maxHeadTime = 4 * time.Second
)

// ErrHeadTooLarge means that the head of a response exceeds its size limit. The limit holds before memory
// is spent: a faulty server may send any number of bytes without a line end.
var ErrHeadTooLarge = errors.New("the head of the response exceeds its size limit")

// ErrHeadTooSlow means that a server goes on sending a head or a stale body after maxHeadTime.
var ErrHeadTooSlow = errors.New("the head of the response exceeds its time limit")

// ErrNoResponse means that the bytes from a server do not begin an HTTP response.
var ErrNoResponse = errors.New("the server sent bytes that are no response")

// headReader limits what is read from a connection while the head of a response is read, or a stale
// body.
type headReader struct {
	source  net.Conn
	left    int64
	limited bool
	begunAt time.Time // when the first bytes came; zero: none has
	end     ConnEnd
	endWait time.Duration // how long the read that met the end had waited for it
	// recorded holds what was read since record.
	recorded  []byte
	recording bool
	// unfinished counts the bytes since the last whole part of a response.
	unfinished atomic.Int64
}

// limit begins a head of at most n bytes; unlimit ends it.
func (h *headReader) limit(n int64) { h.left, h.limited, h.begunAt = n, true, time.Time{} }
func (h *headReader) unlimit()      { h.left, h.limited = math.MaxInt64, false }

// record begins to record what is read, after bytes that were read before. takeRecord ends it.
func (h *headReader) record(before []byte) { h.recorded, h.recording = bytes.Clone(before), true }

func (h *headReader) takeRecord() []byte {
	recorded := h.recorded
	h.recorded, h.recording = nil, false
	return recorded
}

// limitBody begins a stale body of at most n bytes, which ends within the time of its head.
func (h *headReader) limitBody(n int64) { h.left, h.limited = n, true }

// Read reads from the connection, within the limits.
func (h *headReader) Read(p []byte) (int, error) {
	switch {
	case h.left <= 0:
		return 0, ErrHeadTooLarge
	case h.isTooSlow():
		return 0, ErrHeadTooSlow
	}
	begun := time.Now()
	n, err := h.source.Read(p[:min(int64(len(p)), h.left)])
	if h.end.record(err, false) {
		h.endWait = time.Since(begun)
	}
	err = h.end.ofRead(err)
	h.left -= int64(n)
	if h.recording {
		h.recorded = append(h.recorded, p[:n]...)
	}
	h.unfinished.Add(int64(n))
	if h.limited && n > 0 && h.begunAt.IsZero() {
		h.begunAt = time.Now()
	}
	return n, err
}

// isTooSlow reports whether the server has exceeded maxHeadTime. If bytes are waiting to be read, it
// may be this process that is late.
func (h *headReader) isTooSlow() bool {
	return h.limited && !h.begunAt.IsZero() && time.Since(h.begunAt) > maxHeadTime && socket.Peek(h.source) != socket.Readable
}

// protocolPrefix begins each response.
var protocolPrefix = []byte("HTTP/1.")

// awaitProtocol waits for the first bytes of a response. It returns ErrNoResponse as soon as one of them
// differs from protocolPrefix, since a faulty server may never end the line.
func awaitProtocol(r *bufio.Reader) error {
	for n := 1; n <= len(protocolPrefix); n++ {
		begin, err := r.Peek(n)
		if err != nil {
			return err
		}
		if !bytes.HasPrefix(protocolPrefix, begin) {
			return ErrNoResponse
		}
	}
	return nil
}
