package agent

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/croftvale/croftvale/relay"
	"github.com/stretchr/testify/require"
)

// newRawProxy returns the URL of a proxy whose backend server answers requests with a text and closes.
func newRawProxy(t *testing.T, text func() string) string {
	p, _ := newTestProxy(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = fmt.Fprint(conn, text())
			_ = conn.Close()
		}
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.forward(w, r, p.target.Load()) }))
	t.Cleanup(s.Close)
	return s.URL
}

// post sends a request that is not repeatable, and returns the response and its whole body.
func post(t *testing.T, url string) (*http.Response, string, error) {
	res, err := http.Post(url+"/x", "text/plain", strings.NewReader("x"))
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// TestCutResponseIsNoResponse guards against responses that look whole though the backend server ended amid the
// head or the body.
func TestCutResponseIsNoResponse(t *testing.T) {
	const body = "answer"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-More: a\r\n b\r\nContent-Length: 6\r\n\r\n",
		"HTTP/1.0 200 OK\nContent-Length: 6\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n",
	} {
		text := head + body
		end := 0
		url := newRawProxy(t, func() string { return text[:end] })
		for end = range text {
			res, got, err := post(t, url)
			if err == nil {
				require.Equal(t, http.StatusServiceUnavailable, res.StatusCode, "%q: %q", text[:end], got)
				require.Equal(t, "unknown", res.Header.Get(relay.HeaderRan))
			}
		}
	}
}

// TestInvalidStatusIsNoResponse guards against statuses that no HTTP response has.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999", "101"} {
		url := newRawProxy(t, func() string { return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nodd\n" })
		res, _, err := post(t, url)
		require.NoError(t, err, status)
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		require.Equal(t, "unknown", res.Header.Get(relay.HeaderRan))
	}
}
