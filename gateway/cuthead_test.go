package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// cutResponses are framed responses, and the head of one that is not, whose engine ends amid them.
func cutResponses() map[string]string {
	const line, fields = "HTTP/1.1 200 OK\r\n", "X-Id: %s\r\nContent-Type: text/event-stream\r\n"
	const length, chunks = "Content-Length: 16\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	body := wholeStream(1)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	length16 := strings.Replace(length, "16", strconv.Itoa(len(body)), 1)
	return map[string]string{
		"length":          line + fields + length16 + body,
		"chunks":          line + fields + chunks + chunked,
		"chunks, trailer": line + fields + "Trailer: X-End\r\n" + chunks + strings.TrimSuffix(chunked, "\r\n") + "X-End: 1\r\n\r\n",
		"HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + fields + length16 + body,
		"closes":          line + fields + "Connection: close\r\n" + length16 + body,
		"bare LF":         strings.ReplaceAll(line+fields+length16, "\r\n", "\n") + body,
		"continued":       line + "X-More: a\r\n b\r\n\tc\r\n" + fields + length16 + body,
		"after another":   "HTTP/1.1 100 Continue\r\n\r\n" + line + fields + length16 + body,
		"head only":       line + fields + "\r\n",
	}
}

// cutAfter answers a request with the first bytes of a response, and ends its connection.
func cutAfter(w http.ResponseWriter, text string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprint(conn, text)
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
}

// TestCutResponseIsNoResponse guards against responses that look whole though their engine ended amid the head or a
// framed body.
func TestCutResponseIsNoResponse(t *testing.T) {
	routes := map[string]func(*direct.Route){
		"stream":         isStreamRoute,
		"repeatable":     func(*direct.Route) {},
		"not repeatable": func(r *direct.Route) { r.Kind, r.Resumable = direct.AtMostOnce, false },
	}
	for name, text := range cutResponses() {
		for kind, edit := range routes {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %t", name, kind, reset), func(t *testing.T) {
					t.Parallel()
					testCuts(t, text, kind, edit, reset)
				})
			}
		}
	}
}

// cutsPerRouter is the number of broken responses after which a router is replaced, since it avoids servers that fail.
const cutsPerRouter = 4

// testCuts sends one request for each byte at which the first server cuts a response.
func testCuts(t *testing.T, text, kind string, edit func(*direct.Route), reset bool) {
	var f *silenceFront
	for end := range len(fmt.Sprintf(text, "c000")) {
		if end%cutsPerRouter == 0 {
			f = newCuttingFront(t, text, edit, reset)
		}
		status, body, err := f.getAdmitted(t.Context(), fmt.Sprintf("c%03d", end))
		require.NoError(t, err, "byte %d", end)
		if kind == "not repeatable" {
			require.Equal(t, http.StatusBadGateway, status, "byte %d: %q", end, body)
			continue
		}
		require.Equal(t, http.StatusOK, status, "byte %d: %q", end, body)
		require.Equal(t, wholeStream(1), body, "byte %d", end)
	}
}

// getAdmitted sends a request until the router admits it: on a busy machine it refuses requests, and sends nothing.
func (f *silenceFront) getAdmitted(ctx context.Context, id string) (status int, body string, err error) {
	for range 500 {
		if status, body, err = f.get(ctx, id); status != http.StatusServiceUnavailable || body != "pressure\n" {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return status, body, err
}

// newCuttingFront returns a router whose first server cuts the response to request cN after N bytes.
func newCuttingFront(t *testing.T, text string, edit func(*direct.Route), reset bool) *silenceFront {
	var o order
	return newSilenceFront(t, 2, edit, func(i int, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		if id == "" {
			return // the router checks the server
		}
		if o.role(id, i) > 0 {
			startStream(w)
			sendEvents(w, nextEvent(r), 1)
			return
		}
		end, _ := strconv.Atoi(id[1:])
		cutAfter(w, fmt.Sprintf(text, id)[:end], reset)
	})
}
