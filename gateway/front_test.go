package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestLateRouterDisownsNothing has a router that is too late to have read the
// newest configuration send callers on, where it would say that there is no such
// route or key. Found on a grown site as CONFIG.
func TestLateRouterDisownsNothing(t *testing.T) {
	f := &front{core: &core{}}
	refused := f.unknown(http.StatusNotFound, "no_route")
	require.Equal(t, http.StatusNotFound, refused.status)
	require.Equal(t, "no_route", refused.reason)
	f.core.pressure.Observe(0, time.Second)
	refused = f.unknown(http.StatusNotFound, "no_route")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, reasonPressure, refused.reason)
	require.Positive(t, refused.after)
}

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a request that is refused at the door was read")
	return 0, io.EOF
}

func (unreadBody) Close() error { return nil }

// plainDialect is a dialect without any headers.
type plainDialect struct{ Dialect }

func (plainDialect) Envelope(http.Header) (Envelope, error) {
	return Envelope{ID: "a", Left: time.Minute, Key: "key", PromptTokens: 5000, OutputTokens: 100}, nil
}

func (plainDialect) ID(http.Header) string { return "a" }

func (plainDialect) ComeBack(h http.Header, after time.Duration) { h.Set("Come-Back", after.String()) }

// floodedFront returns a front whose only team has used its allowance up, so that
// all requests are refused at the door.
func floodedFront(tb testing.TB) *front {
	j := eventlog.New(io.Discard, "bench")
	tb.Cleanup(j.Close)
	c := newCore(direct.Options{}, j)
	counts := stats.New(tally.NoopScope)
	feeds := feed.NewSet(feed.Options{Decisions: c, Log: j, Stats: counts})
	f := &front{
		core: c, feeds: feeds, log: j, stats: counts, dialect: plainDialect{},
		queues: newTestQueues(1 << 20), callers: newTestCallers(1000, 0),
	}
	feeds.Config.Offer(&direct.Config{
		Version:  1,
		Routes:   []direct.Route{{Name: "r", Host: "h", Prefix: "/", Kind: direct.Stream, Split: []direct.WeightedService{{Service: "llm", Weight: 1}}, Objective: time.Second}},
		Services: []direct.Service{{Name: "llm", Engine: &direct.Engine{Slots: 8, KVTokens: 100000}}},
		Teams:    []direct.Team{{Name: "flood", Keys: []string{"key"}}},
		Limits:   direct.Limits{TokensPerSecond: 100},
	}, "bench")
	feeds.Servers.OfferAll(&direct.Directory{Servers: []direct.Server{{ID: "i-1", Service: "llm", Slots: 8}}}, "bench")
	request := direct.Request{Team: "flood", Service: "llm", Objective: time.Second, PromptTokens: 5000}
	first, _ := c.arrive(request)
	c.Update(direct.FirstEventMsg{Now: c.Now(), ID: first})
	c.Update(direct.TickMsg{Now: 150 * time.Millisecond})
	c.arrive(request)
	return f
}

// TestFloodIsRefusedUnread has a team ask for far more than its share: its
// requests are refused with a time to come back, and their bodies are not read.
func TestFloodIsRefusedUnread(t *testing.T) {
	f := floodedFront(t)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/x", Header: http.Header{}, Body: unreadBody{t}, ContentLength: 5000})
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "over_share\n", w.Body.String())
	require.NotEmpty(t, w.Header().Get("Come-Back"))
}

// TestHalfClosedCallerGetsNoSuccess has a caller close its side of the connection
// while its request waits: the router takes it for gone, and must not answer with the
// empty success that net/http writes for a handler which wrote nothing.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	f := floodedFront(t)
	// Without a configured total there are no shares; the only place is taken.
	f.feeds.Config.Offer(&direct.Config{
		Version:  2,
		Routes:   []direct.Route{{Name: "r", Host: "h", Prefix: "/", Kind: direct.Stream, Split: []direct.WeightedService{{Service: "llm", Weight: 1}}, Objective: time.Hour}},
		Services: []direct.Service{{Name: "llm", Engine: &direct.Engine{Slots: 1, KVTokens: 100000}}},
		Teams:    []direct.Team{{Name: "flood", Keys: []string{"key"}}},
		Limits:   direct.Limits{BodyBytes: 100},
	}, "test")
	f.core.Update(direct.ServersMsg{Directory: direct.Directory{Revision: 2, Servers: []direct.Server{{ID: "i-1", Service: "llm", Slots: 1}}}})
	server := httptest.NewServer(f)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"))
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	answer, _ := io.ReadAll(conn)
	require.Empty(t, string(answer))
}
