package gateway

import "net/http"

// reasonPanic is the reason of the response to a request whose handler panicked.
const reasonPanic = "internal"

// handlePanic handles a panic of the handler of a request. It must be deferred. A panic costs its own
// request: the caller gets a response if none has begun. A panic that leaves the state machine
// inconsistent ends the process, since net/http would recover it and the router would go on with that state.
// A panic with http.ErrAbortHandler is how a handler closes its connection.
func (f *front) handlePanic(w *watchedWriter, r *http.Request) {
	cause := recover()
	switch cause {
	case nil:
		return
	case http.ErrAbortHandler:
		panic(cause)
	}
	f.recordPanic(r, cause)
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	w.Header().Set("Connection", "close")
	f.refuse(w, http.StatusInternalServerError, reasonPanic, 0)
}

// recordPanic logs a panic beside a request, and ends the process if the panic leaves the state machine
// inconsistent.
func (f *front) recordPanic(r *http.Request, cause any) {
	consistent := f.core.isConsistent()
	f.logPanic(r, cause, consistent)
	if !consistent {
		f.log.Close()
		f.endProcess(cause)
	}
}

// panicOutside ends the process with a panic that net/http does not recover.
func panicOutside(cause any) {
	go panic(cause)
	select {}
}

// watchedWriter records whether a response has begun.
type watchedWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *watchedWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *watchedWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
