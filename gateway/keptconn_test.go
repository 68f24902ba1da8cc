package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// reportingDialect is a dialect whose servers tell their start.
type reportingDialect struct{ silenceDialect }

func (reportingDialect) ReportPath() string { return "/report" }

func (reportingDialect) ParseReport(body []byte) (int64, bool) {
	millis, err := strconv.ParseInt(string(body), 10, 64)
	return millis, err == nil
}

// serveRaw takes over the connection of a request and calls respond for it and for each further one.
func serveRaw(w http.ResponseWriter, r *http.Request, respond func(conn net.Conn, r *http.Request)) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(buffered)
	for {
		respond(conn, r)
		if r, err = http.ReadRequest(reader); err != nil {
			return
		}
	}
}

// wholeResponse returns a response with a stream of events that name its request.
func wholeResponse(id string) string {
	body := eventsNaming(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func eventsNaming(id string) string {
	return fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", id, id)
}

// TestLateResponsesOnKeptConnection guards against streams that hold events of an earlier request on the same
// connection, and against a report of the server that is taken for a response: the server sends each once more,
// late.
func TestLateResponsesOnKeptConnection(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	var conns atomic.Int64
	f := newSilenceFront(t, 1, isStreamRoute, func(_ int, w http.ResponseWriter, r *http.Request) {
		conns.Add(1)
		last := ""
		serveRaw(w, r, func(conn net.Conn, r *http.Request) {
			response := report
			if id := r.Header.Get("X-Id"); id != "" {
				response = wholeResponse(id)
			}
			_, _ = fmt.Fprint(conn, last, response)
			last = response
		})
	})
	f.dialect = reportingDialect{}
	for n := range 8 {
		id := fmt.Sprint("r", n)
		status, body, err := f.get(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, eventsNaming(id), body)
	}
	require.EqualValues(t, 1, conns.Load(), "connections")
}
