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

// TestLateRouterDisownsNothing checks that a router that is too late to have read the
// newest configuration sends callers to another router, instead of reporting that a route
// or a key does not exist.
func TestLateRouterDisownsNothing(t *testing.T) {
	f := &front{core: &core{}}
	refused := f.refuseUnknown(http.StatusNotFound, "no_route")
	require.Equal(t, http.StatusNotFound, refused.status)
	require.Equal(t, "no_route", refused.reason)
	f.core.pressure.Observe(0, time.Second)
	refused = f.refuseUnknown(http.StatusNotFound, "no_route")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, reasonPressure, refused.reason)
	require.Positive(t, refused.retryAfter)
}

// mustNotReadBody fails the test when it is read.
type mustNotReadBody struct{ t *testing.T }

func (b mustNotReadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a request that is refused early was read")
	return 0, io.EOF
}

func (mustNotReadBody) Close() error { return nil }

// fixedDialect returns the same information for every request, whatever its headers.
type fixedDialect struct{ Dialect }

func (fixedDialect) ParseRequest(http.Header) (RequestInfo, error) {
	return RequestInfo{ID: "a", TimeLeft: time.Minute, TeamKey: "key", PromptTokens: 5000, OutputTokens: 100}, nil
}

func (fixedDialect) RequestID(http.Header) string { return "a" }

func (fixedDialect) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Come-Back", after.String())
}

// floodedFront returns a front whose only team has used up its tokens, so that all requests
// are refused early.
func floodedFront(tb testing.TB) *front {
	log := eventlog.New(io.Discard, "bench")
	tb.Cleanup(log.Close)
	c := newCore(direct.Options{}, log)
	counts := stats.New(tally.NoopScope)
	feeds := feed.NewSet(feed.Options{StateMachine: c, Log: log, Stats: counts})
	f := &front{
		core: c, feeds: feeds, log: log, stats: counts, dialect: fixedDialect{},
		sendQueues: newTestQueues(1 << 20), conns: newTestCallerConns(1000, 0),
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
	first, _ := c.submit(request)
	c.Update(direct.FirstEventMsg{Now: c.Now(), ID: first})
	c.Update(direct.TickMsg{Now: 150 * time.Millisecond})
	c.submit(request)
	return f
}

// TestFloodIsRefusedUnread checks that the requests of a team far above its share are
// refused with a retry delay, and that their bodies are not read.
func TestFloodIsRefusedUnread(t *testing.T) {
	f := floodedFront(t)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/x", Header: http.Header{}, Body: mustNotReadBody{t}, ContentLength: 5000})
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "over_share\n", w.Body.String())
	require.NotEmpty(t, w.Header().Get("Come-Back"))
}

// TestHalfClosedCallerGetsNoSuccess has a caller close its side of the connection while its
// request waits. The router treats the caller as gone, and must not send the empty success
// that net/http writes for a handler that wrote nothing.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	f := floodedFront(t)
	// Without a configured total there are no shares; the only slot is taken.
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
	resp, _ := io.ReadAll(conn)
	require.Empty(t, string(resp))
}
