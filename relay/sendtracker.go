package relay

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// SendTracker records whether any byte of a request may have left this process. Until then
// the request has provably not run.
type SendTracker struct{ wrote atomic.Bool }

// Trace returns the request with a trace that updates the tracker.
func (s *SendTracker) Trace(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{
		// This is called before the bytes of the field reach the connection.
		WroteHeaderField: func(string, []string) { s.wrote.Store(true) },
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// MayHaveSent reports whether the request may have reached the other side.
func (s *SendTracker) MayHaveSent() bool { return s.wrote.Load() }
