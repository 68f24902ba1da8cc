package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// serveOneAtATime starts a server that accepts a connection when the one before has ended, and returns its address.
func serveOneAtATime(t *testing.T, runs *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveOne(conn, runs)
		}
	}()
	return listener.Addr().String()
}

func serveOne(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.URL.Path == "/report" {
		_, _ = fmt.Fprint(conn, "HTTP/1.0 404 Not Found\r\n\r\n")
		return
	}
	runs.Add(1)
	_, _ = fmt.Fprint(conn, unframedHead(r.Header.Get("X-Id")), "first,")
	time.Sleep(300 * time.Millisecond)
	_, _ = fmt.Fprint(conn, "second")
}

// TestServerOfOneConnectionEndsItsResponses guards against sound responses of servers that serve one connection at a
// time, such as simple scripts: the connection that the router keeps open beside a response holds such a server.
func TestServerOfOneConnectionEndsItsResponses(t *testing.T) {
	for name, edit := range map[string]func(*direct.Route){"at most once": isAtMostOnce, "repeatable": func(*direct.Route) {}} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			f := newSilenceFront(t, 1, edit, func(_ int, _ http.ResponseWriter, _ *http.Request) {})
			address := serveOneAtATime(t, &runs)
			f.feeds.Servers.OfferAll(&direct.Directory{Revision: 2, Servers: []direct.Server{{ID: "i-0", Service: "llm", Address: address, Slots: 64}}}, "test")
			f.dialect = reportingDialect{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			status, body, err := f.get(ctx, "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, body)
			require.Equal(t, "first,second", body)
			require.EqualValues(t, 1, runs.Load(), "runs")
		})
	}
}
