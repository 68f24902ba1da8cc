// Package responseabort ends responses early, so that they do not look whole.
package responseabort

import (
	"net/http"
)

// Abort ends the response to a request early. It panics with http.ErrAbortHandler, by which net/http closes the connection
// in order. That would be the sound end of a response to HTTP/1.0 without a length, so its connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response, unless it has been taken over by its handler.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // it fails on a closed connection
	}
	_ = conn.Close() // as above
}
