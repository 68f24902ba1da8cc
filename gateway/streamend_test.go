package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestEarlyEndIsNoEnd guards against streams that look whole though their servers ended amid them, in each framing.
func TestEarlyEndIsNoEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n"
	const two, half = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", "id: 3\nda"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, text := range map[string]string{
		"chunks without an end":             head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(two),
		"amid the size of a chunk":          head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(two) + "1",
		"amid a chunk":                      head + "Transfer-Encoding: chunked\r\n\r\n" + "40\r\n" + two,
		"amid the last chunk":               head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(two) + "0\r\n",
		"chunks that end amid an event":     head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(two+half) + "0\r\n\r\n",
		"less than its length":              head + "Content-Length: 500\r\n\r\n" + two,
		"a length that ends amid an event":  head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(two+half)) + two + half,
		"unframed, amid an event":           head + "Connection: close\r\n\r\n" + two + half,
		"unframed, before a blank line":     head + "Connection: close\r\n\r\n" + two + "id: 3\ndata: x\n",
		"HTTP/1.0, amid an event":           "HTTP/1.0" + head[len("HTTP/1.1"):] + "\r\n" + two + half,
		"bytes that are no chunk":           head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(two) + "zz\r\n",
		"a comment that ends amid its line": head + "Connection: close\r\n\r\n" + two + ": x",
	} {
		t.Run(name, func(t *testing.T) {
			var o order
			f := newSilenceFront(t, 2, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
				if o.role(r.Header.Get("X-Id"), i) > 0 {
					startStream(w)
					sendEvents(w, nextEvent(r), 6)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func(c net.Conn) { _ = c.Close() }(conn)
				_, _ = fmt.Fprint(conn, text)
			})
			status, body, err := f.get(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, wholeStream(6), body)
		})
	}
}

// deadlineDialect is a dialect that tells servers the time left, in milliseconds.
type deadlineDialect struct{ silenceDialect }

func (d deadlineDialect) OutboundHeader(h http.Header, c CallInfo) http.Header {
	out := d.silenceDialect.OutboundHeader(h, c)
	out.Set("X-Left", strconv.FormatInt(c.TimeLeft.Milliseconds(), 10))
	return out
}

// sendUntilDeadline begins an unframed response and closes its connection at the request's deadline.
func sendUntilDeadline(w http.ResponseWriter, r *http.Request, contentType string) {
	millis, _ := strconv.Atoi(r.Header.Get("X-Left"))
	end := time.After(time.Duration(millis) * time.Millisecond)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("X-Id"), contentType, wholeStream(2))
	<-end
}

// TestUnframedDeadlineIsNoEnd guards against unframed responses that look whole though their servers ceased to work
// on them at the deadline.
func TestUnframedDeadlineIsNoEnd(t *testing.T) {
	const requests = 40
	for name, kind := range map[string]direct.Kind{"text/event-stream": direct.Stream, "text/plain": direct.Repeatable} {
		t.Run(name, func(t *testing.T) {
			edit := func(r *direct.Route) { r.Kind, r.Timeout = kind, 300*time.Millisecond }
			f := newSilenceFront(t, 1, edit, func(_ int, w http.ResponseWriter, r *http.Request) { sendUntilDeadline(w, r, name) })
			f.dialect = deadlineDialect{}
			var whole atomic.Int64
			var all sync.WaitGroup
			for n := range requests {
				all.Go(func() {
					if status, _, err := f.get(t.Context(), fmt.Sprint("r", n)); status == http.StatusOK && err == nil {
						whole.Add(1)
					}
				})
			}
			all.Wait()
			require.Zero(t, whole.Load(), "of %d look whole", requests)
		})
	}
}
