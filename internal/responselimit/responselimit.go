// Package responselimit ends HTTP calls whose response has begun and does not end. The timeout of a watch can't do
// that soon: it also covers the time for which the server waits for a change.
package responselimit

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrExceeded is the cause of a call that ended since a part of its response took too long.
var ErrExceeded = errors.New("the response began and did not end in time")

// Limit bounds the head of a response, and its body, from the first byte of each to its last.
type Limit struct {
	duration time.Duration
	timer    *time.Timer // runs while a part of the response has begun
	cancel   context.CancelCauseFunc
}

// New returns a context for one call and its limit. Stop must be called after the response has been read.
func New(ctx context.Context, duration time.Duration) (context.Context, *Limit) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &Limit{duration: duration, cancel: cancel}
	l.timer = time.AfterFunc(math.MaxInt64, func() { cancel(ErrExceeded) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: l.start}), l
}

func (l *Limit) start() { l.timer.Reset(l.duration) }

// AwaitBody returns once the body of a successful response has begun, for which a server that sends the head first
// may wait. The body of any other response belongs to its head, as does one whose length the head tells: its server
// has nothing to wait for.
func (l *Limit) AwaitBody(resp *http.Response) {
	if resp.StatusCode != http.StatusOK || resp.ContentLength >= 0 {
		return
	}
	l.timer.Stop()
	// A larger read of a chunked body would return only once it is filled.
	first := make([]byte, 1)
	n, _ := resp.Body.Read(first) // the next read returns the error again
	l.start()
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(first[:n]), resp.Body), resp.Body}
}

// Stop releases the limit and ends the call.
func (l *Limit) Stop() {
	l.timer.Stop()
	l.cancel(nil)
}
