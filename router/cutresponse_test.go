package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/queue"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// callRawAgent sends a request to an agent that answers with a text and closes. It returns the outcome, and the body that
// the caller got if that is whole.
func callRawAgent(t *testing.T, text string) (outcome queue.Outcome, got string, whole bool) {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = fmt.Fprint(conn, text)
			_ = conn.Close()
		}
	}))
	defer agent.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	h := &handler{log: &log.Logger{Level: log.PanicLevel}, events: make(chan event, 8), transport: transport, meter: &link.Meter{}}
	requestBody := body{}
	a := &admission{id: "r-1", team: &bundle.Team{}, body: &requestBody}
	g := &grant{claim: "a/1/1", remaining: "0/0", address: strings.TrimPrefix(agent.URL, "http://"), abort: make(chan struct{})}
	callers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outcome = queue.OutcomeCut // unless callAgent returns
		outcome = h.callAgent(w, r, 1, a, g)
	}))
	defer callers.Close()
	res, err := http.Get(callers.URL)
	if err != nil {
		return outcome, "", false
	}
	defer res.Body.Close()
	read, err := io.ReadAll(res.Body)
	return outcome, string(read), err == nil
}

// TestCutResponseIsNoResponse guards against responses that look whole though the agent ended amid the head or the body,
// also if they have neither a length nor chunks, which agents always send.
func TestCutResponseIsNoResponse(t *testing.T) {
	const ran, body = "Croftvale-Ran: yes\r\n", "answer"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + ran + "X-More: a\r\n b\r\nContent-Length: 6\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + ran + "Transfer-Encoding: chunked\r\n\r\n6\r\n",
		"HTTP/1.1 200 OK\r\n" + ran + "\r\n",
		"HTTP/1.0 200 OK\r\n" + ran + "\r\n",
	} {
		text := head + body
		for end := range text {
			outcome, got, whole := callRawAgent(t, text[:end])
			require.NotEqual(t, queue.OutcomeDone, outcome, "%q", text[:end])
			require.False(t, whole && got != "", "%q: %q", text[:end], got)
		}
	}
}

// TestInvalidStatusIsNoResponse guards against statuses that no HTTP response has.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999", "101"} {
		outcome, got, _ := callRawAgent(t, "HTTP/1.1 "+status+" Odd\r\nCroftvale-Ran: yes\r\nContent-Length: 4\r\n\r\nodd\n")
		require.Equal(t, queue.OutcomeUnknown, outcome, status)
		require.Empty(t, got)
	}
}
