package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// startDialect is a dialect whose servers tell their start.
type startDialect struct{ silenceDialect }

func (startDialect) ReportPath() string { return "/report" }

func (startDialect) ParseReport(body []byte) (int64, bool) {
	millis, err := strconv.ParseInt(string(body), 10, 64)
	return millis, err == nil
}

// entryStart is the start that the entries of the servers name.
const entryStart = 5

// newStartFront is newSilenceFront with servers that are asked for their start.
func newStartFront(t *testing.T, servers int, edit func(*direct.Route), handle func(i int, w http.ResponseWriter, r *http.Request)) *silenceFront {
	f := newSilenceFront(t, servers, func(r *direct.Route) { isStreamRoute(r); edit(r) }, handle)
	f.dialect = startDialect{}
	var list []direct.Server
	for i, s := range f.servers {
		list = append(list, direct.Server{ID: fmt.Sprintf("i-%d@%d", i, entryStart), Service: "llm", Zone: "a", Version: "v1", Address: s.Listener.Addr().String(), Slots: 64})
	}
	f.feeds.Servers.OfferAll(&direct.Directory{Revision: 2, Servers: list}, "test")
	return f
}

func isReport(r *http.Request) bool { return r.URL.Path == "/report" }

func sendStart(w http.ResponseWriter, millis int) { fmt.Fprint(w, millis) }

func asIs(*direct.Route) {}

// TestClosingServerServesStreams guards against streams that get no server since each response of the servers
// of their version closes its connection, as those of a leaving server do.
func TestClosingServerServesStreams(t *testing.T) {
	var o order
	f := newStartFront(t, 2, asIs, func(i int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if isReport(r) {
			sendStart(w, entryStart)
			return
		}
		startStream(w)
		if o.role("a", i) == 0 {
			sendEvents(w, 1, 2)
			panic(http.ErrAbortHandler)
		}
		sendEvents(w, nextEvent(r), 4)
	})
	status, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, wholeStream(4), body)
}

// TestServerThatNoLongerTellsItsStartContinuesNoStream guards against a stream that goes on at a server which
// told its start before, and now answers its report with none: it may have restarted as another version.
func TestServerThatNoLongerTellsItsStartContinuesNoStream(t *testing.T) {
	for name, report := range map[string]func(http.ResponseWriter){
		"503":     func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		"garbled": func(w http.ResponseWriter) { fmt.Fprint(w, "{") },
	} {
		t.Run(name, func(t *testing.T) {
			var o order
			var ended atomic.Bool
			f := newStartFront(t, 2, asIs, func(i int, w http.ResponseWriter, r *http.Request) {
				switch {
				case isReport(r) && ended.Load():
					report(w)
				case isReport(r):
					sendStart(w, entryStart)
				case r.Header.Get("X-Id") == "a" && o.role("a", i) == 0:
					startStream(w)
					sendEvents(w, 1, 2)
					ended.Store(true)
					panic(http.ErrAbortHandler)
				default:
					startStream(w)
					sendEvents(w, nextEvent(r), 4)
				}
			})
			for n := range 8 {
				_, body, err := f.get(t.Context(), fmt.Sprint("other-", n))
				require.NoError(t, err)
				require.Equal(t, wholeStream(4), body)
			}
			for _, s := range f.servers {
				s.CloseClientConnections()
			}
			_, body, _ := f.get(t.Context(), "a")
			require.Equal(t, wholeStream(2), body)
		})
	}
}

// requireNoOutage requires that other streams are served at once.
func requireNoOutage(t *testing.T, f *silenceFront) {
	t.Helper()
	for n := range 4 {
		status, body, err := f.get(t.Context(), fmt.Sprint("other-", n))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
}

// TestResetBeforeStartIsNoOutage guards against servers, and with them their hall, that are taken out of use
// since they have reset a new connection, as servers with too many of them do.
func TestResetBeforeStartIsNoOutage(t *testing.T) {
	var resets atomic.Int64
	f := newStartFront(t, 3, asIs, func(i int, w http.ResponseWriter, r *http.Request) {
		switch {
		case isReport(r) && resets.Add(1) <= 3:
			panic(http.ErrAbortHandler)
		case isReport(r):
			sendStart(w, entryStart)
		default:
			startStream(w)
			sendEvents(w, nextEvent(r), 4)
		}
	})
	_, _, _ = f.get(t.Context(), "a")
	requireNoOutage(t, f)
}

// TestSilentReportIsNoOutage guards against servers, and with them their hall, that are taken out of use since
// they were silent until the deadline of some requests, before they had told their start.
func TestSilentReportIsNoOutage(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	f := newStartFront(t, 3, func(r *direct.Route) { r.Timeout = 400 * time.Millisecond }, func(i int, w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			pause(r, time.Second)
			return
		}
		if isReport(r) {
			sendStart(w, entryStart)
			return
		}
		startStream(w)
		sendEvents(w, nextEvent(r), 4)
	})
	var ended sync.WaitGroup
	for n := range 12 {
		ended.Go(func() { _, _, _ = f.get(t.Context(), fmt.Sprint("silent-", n)) })
	}
	ended.Wait()
	silent.Store(false)
	requireNoOutage(t, f)
}

// TestSlowReportDelaysNoNewStream guards against new streams that wait for a server's report, though any start
// of the server may serve them.
func TestSlowReportDelaysNoNewStream(t *testing.T) {
	f := newStartFront(t, 1, func(r *direct.Route) { r.Attempts = 1 }, func(i int, w http.ResponseWriter, r *http.Request) {
		if isReport(r) {
			pause(r, 2*time.Second)
			sendStart(w, entryStart)
			return
		}
		startStream(w)
		sendEvents(w, nextEvent(r), 4)
	})
	began := time.Now()
	_, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, wholeStream(4), body)
	require.Less(t, time.Since(began), time.Second)
}

// TestUnknownVersionsAreOne guards against records of unknown versions that package origin takes for known ones.
func TestUnknownVersionsAreOne(t *testing.T) {
	require.Equal(t, origin.UnknownVersion, direct.UnknownVersion)
	require.Equal(t, "n-0@5", direct.UnlistedID(direct.UnlistedVersion("n-0", 5)))
	require.Empty(t, direct.UnlistedID("v1"))
	require.Empty(t, direct.UnlistedID(direct.UnknownVersion))
}
