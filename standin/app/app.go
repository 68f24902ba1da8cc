// Package app stands in for a plain service some of whose calls may not be
// repeated: it notes how often each call ran, by the X-Nonce header, and
// answers with the nonce and the size of the body.
package app

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/standin/record"
)

// HeaderNonce marks a call.
const HeaderNonce = "X-Nonce"

// App is the stand-in; it implements http.Handler.
type App struct {
	recorder *record.Recorder
	work     time.Duration
	busy     atomic.Int64
	closing  atomic.Bool
}

// New returns a service whose calls take a time.
func New(work time.Duration, r *record.Recorder) *App {
	return &App{recorder: r, work: work}
}

// SetClosing makes every call run and its connection close without an answer.
func (a *App) SetClosing(on bool) { a.closing.Store(on) }

// Busy returns the slot time used so far.
func (a *App) Busy() time.Duration { return time.Duration(a.busy.Load()) }

// ServeHTTP answers calls and the health probe.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	began := time.Now()
	defer func() { a.busy.Add(int64(time.Since(began))) }()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	nonce := r.Header.Get(HeaderNonce)
	a.recorder.Ran(nonce)
	time.Sleep(a.work)
	if a.closing.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderNonce, nonce)
	_, _ = fmt.Fprintf(w, "%s %d\n", nonce, n)
}
