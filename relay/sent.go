package relay

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Sent tells whether any byte of a request may have left this process. While
// it has not, the request has provably not run.
type Sent struct{ wrote atomic.Bool }

// Trace returns the request with the watch on it.
func (s *Sent) Trace(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{
		// A header field is noted before its bytes reach the connection.
		WroteHeaderField: func(string, []string) { s.wrote.Store(true) },
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// MayHaveLeft reports whether the request may have reached the other side.
func (s *Sent) MayHaveLeft() bool { return s.wrote.Load() }
