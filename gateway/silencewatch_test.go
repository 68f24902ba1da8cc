package gateway

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestSlowBackupOfDarkServer guards against a backup that is given up since its server, which has no other
// request of this router, takes long to begin its response. The first server is dark for good.
func TestSlowBackupOfDarkServer(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream=", stream), func(t *testing.T) {
			var o order
			edit := func(*direct.Route) {}
			if stream {
				edit = isStreamRoute
			}
			f := newSilenceFront(t, 2, edit, func(i int, w http.ResponseWriter, r *http.Request) {
				if o.role(r.Header.Get("X-Id"), i) == 0 {
					if stream {
						startStream(w)
						sendEvents(w, 1, 2)
					}
					pause(r, time.Minute) // dark
					return
				}
				if !pause(r, 1600*time.Millisecond) {
					return
				}
				if stream {
					startStream(w)
					sendEvents(w, nextEvent(r), 4)
					return
				}
				fmt.Fprint(w, "ok")
			})
			status, body, err := f.get(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, body)
			if stream {
				require.Equal(t, wholeStream(4), body)
			}
		})
	}
}

// TestDecliningServerLeavesBackup guards against a backup that is canceled since the silent server has declined
// the request, or failed: the backup's server is at work on it.
func TestDecliningServerLeavesBackup(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var o order
			f := newSilenceFront(t, 2, func(*direct.Route) {}, func(i int, w http.ResponseWriter, r *http.Request) {
				if o.role(r.Header.Get("X-Id"), i) == 0 {
					pause(r, 500*time.Millisecond) // 200 ms after the backup was sent
					if status == http.StatusServiceUnavailable {
						w.Header().Set("X-Not-Run", "1")
					}
					w.WriteHeader(status)
					return
				}
				pause(r, 300*time.Millisecond)
				fmt.Fprint(w, "ok")
			})
			got, body, err := f.get(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, got, body)
		})
	}
}

// TestBackupDeclinesLate guards against a stream that is cut since its backup took over from a silent server
// before its own server had accepted the request, and was then declined. The silent server goes on.
func TestBackupDeclinesLate(t *testing.T) {
	var o order
	f := newSilenceFront(t, 2, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") != "a" { // other responses of both servers
			startStream(w)
			for n := 1; n < 40; n++ {
				sendEvents(w, n, n)
				if !pause(r, 60*time.Millisecond) {
					return
				}
			}
			return
		}
		if o.role("a", i) == 0 {
			startStream(w)
			sendEvents(w, 1, 2)
			if pause(r, 1700*time.Millisecond) {
				sendEvents(w, 3, 4)
			}
			return
		}
		pause(r, 500*time.Millisecond) // in the queue of its server
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for n := range 8 {
		go func() { _, _, _ = f.get(t.Context(), fmt.Sprint("other-", n)) }()
	}
	time.Sleep(100 * time.Millisecond)
	_, body, err := f.get(t.Context(), "a")
	require.NoError(t, err, body)
	require.Equal(t, wholeStream(4), body)
}

// TestTwoServersWorkBriefly holds the time for which two servers work on one request to 400 ms, when both are
// silent and go on working.
func TestTwoServersWorkBriefly(t *testing.T) {
	var both atomic.Int64 // nanoseconds
	var o order
	f := newSilenceFront(t, 3, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		if o.role("a", i) == 0 {
			startStream(w)
			sendEvents(w, 1, 2)
		}
		if pause(r, 2500*time.Millisecond) {
			if o.role("a", i) != 0 {
				startStream(w)
			}
			sendEvents(w, max(nextEvent(r), 3), 4)
		}
	})
	done := make(chan struct{})
	go func() {
		last := time.Now()
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			now := time.Now()
			n := int64(0)
			for _, s := range f.servers {
				n += s.running.Load()
			}
			if n > 1 {
				both.Add(int64(now.Sub(last)))
			}
			last = now
		}
	}()
	_, body, err := f.get(t.Context(), "a")
	close(done)
	require.NoError(t, err)
	require.Equal(t, wholeStream(4), body)
	require.Less(t, time.Duration(both.Load()), 400*time.Millisecond, "two servers worked on one request")
}

// TestCanceledDialIsNoEvidence guards against a server that is taken out of use since the backup that was being
// sent to it was no longer needed.
func TestCanceledDialIsNoEvidence(t *testing.T) {
	// Connections to a listener with a full queue stay unanswered.
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer listener.Close()
	raw, err := listener.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { require.NoError(t, unix.Listen(int(fd), 0)) }))
	for range 2 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err == nil {
			defer conn.Close()
		}
	}
	f := newSilenceFront(t, 1, func(*direct.Route) {}, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "a" {
			pause(r, 400*time.Millisecond) // the backup is asked for after 300 ms
		}
		fmt.Fprint(w, "ok")
	})
	_, _, err = f.get(t.Context(), "first")
	require.NoError(t, err)
	got := make(chan error, 1)
	go func() { _, _, err := f.get(t.Context(), "a"); got <- err }()
	time.Sleep(100 * time.Millisecond)
	f.core.Update(direct.ServersMsg{Now: f.core.Now(), Directory: direct.Directory{Revision: 2, Servers: []direct.Server{
		{ID: "i-0", Service: "llm", Address: f.servers[0].Listener.Addr().String(), Slots: 64},
		{ID: "i-1", Service: "llm", Address: listener.Addr().String(), Slots: 64},
	}}})
	require.NoError(t, <-got)
	time.Sleep(50 * time.Millisecond) // the backup ends
	for _, s := range f.core.serverStates() {
		require.False(t, s.Probation, "%+v", s)
	}
}

// TestNothingConcludesThatAnUnsentBackupRuns guards against a stream that is cut since a backup took over from a
// silent server while the backup's connection was still being opened.
func TestNothingConcludesThatAnUnsentBackupRuns(t *testing.T) {
	var o order
	f := newSilenceFront(t, 2, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		startStream(w)
		if r.Header.Get("X-Id") != "a" {
			for n := 1; pause(r, 20*time.Millisecond) && n < 200; n++ {
				sendEvents(w, n, n)
			}
			return
		}
		o.role("a", i)
		sendEvents(w, 1, 2)
		if pause(r, 1700*time.Millisecond) {
			sendEvents(w, 3, 4)
		}
	})
	for n := range 8 {
		go func() { _, _, _ = f.get(t.Context(), fmt.Sprint("other-", n)) }()
	}
	time.Sleep(200 * time.Millisecond)
	type result struct {
		body string
		err  error
	}
	got := make(chan result, 1)
	go func() { _, body, err := f.get(t.Context(), "a"); got <- result{body, err} }()
	time.Sleep(300 * time.Millisecond)
	for i, s := range f.servers {
		o.mu.Lock()
		_, first := o.roles["a"][i]
		o.mu.Unlock()
		if !first {
			s.Listener.(interface{ block() }).block()
		}
	}
	r := <-got
	require.NoError(t, r.err, r.body)
	require.Equal(t, wholeStream(4), r.body)
}

// blockable is a listener that can stop accepting connections, so that new ones stay unanswered.
type blockable struct {
	*net.TCPListener
	t       testing.TB
	blocked atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (b *blockable) block() {
	b.blocked.Store(true)
	raw, err := b.SyscallConn()
	require.NoError(b.t, err)
	require.NoError(b.t, raw.Control(func(fd uintptr) { require.NoError(b.t, unix.Listen(int(fd), 0)) }))
	for range 3 {
		if conn, err := net.DialTimeout("tcp", b.Addr().String(), 50*time.Millisecond); err == nil {
			b.t.Cleanup(func() { conn.Close() })
		}
	}
}

func (b *blockable) Accept() (net.Conn, error) {
	conn, err := b.TCPListener.Accept()
	if err == nil && b.blocked.Load() {
		<-b.closed
		conn.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}

func (b *blockable) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.TCPListener.Close()
}

// TestFailureOfBackupIsForwarded guards against a server's own failure that is lost when a backup has taken over.
func TestFailureOfBackupIsForwarded(t *testing.T) {
	var o order
	f := newSilenceFront(t, 2, func(*direct.Route) {}, func(i int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("X-Id") != "a":
			for range 100 {
				fmt.Fprint(w, strings.Repeat("x", bodyProgressBytes))
				_ = http.NewResponseController(w).Flush()
				if !pause(r, 20*time.Millisecond) {
					return
				}
			}
		case o.role("a", i) == 0:
			pause(r, time.Minute)
		default:
			pause(r, 450*time.Millisecond)
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprint(w, "of the server")
		}
	})
	for n := range 8 {
		go func() { _, _, _ = f.get(t.Context(), fmt.Sprint("other-", n)) }()
	}
	time.Sleep(200 * time.Millisecond)
	status, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status, body)
	require.Equal(t, "of the server", body)
}

// TestSuspensionCountsForRunningStreams guards against streams that go on past their route's timeout by the time
// for which the host was suspended.
func TestSuspensionCountsForRunningStreams(t *testing.T) {
	f := newSilenceFront(t, 1, func(r *direct.Route) { r.Kind, r.Timeout = direct.Stream, 3*time.Second }, func(_ int, w http.ResponseWriter, r *http.Request) {
		startStream(w)
		for n := 1; pause(r, 50*time.Millisecond); n++ {
			sendEvents(w, n, n)
		}
	})
	start := time.Now()
	time.AfterFunc(500*time.Millisecond, func() {
		suspended := reflect.ValueOf(f.core.clock).Elem().FieldByName("suspended")
		(*atomic.Int64)(unsafe.Pointer(suspended.UnsafeAddr())).Add(int64(4 * time.Second))
	})
	_, _, err := f.get(t.Context(), "a")
	require.Error(t, err)
	require.Less(t, time.Since(start), 1500*time.Millisecond, "the stream goes on past its timeout")
}

// panickingDialect panics while it reads the response to a backup.
type panickingDialect struct{ silenceDialect }

func (panickingDialect) ParseResponse(status int, h http.Header) ResponseInfo {
	if h.Get("X-Panic") != "" {
		panic("a response that the dialect can't bear")
	}
	return silenceDialect{}.ParseResponse(status, h)
}

// TestPanicOfBackupEndsOneRequest guards against a panic that ends the whole router: a backup does not run in
// a handler of net/http, which recovers panics.
func TestPanicOfBackupEndsOneRequest(t *testing.T) {
	if os.Getenv("REVIEW_PANIC") == "" {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPanicOfBackupEndsOneRequest$")
		cmd.Env = append(os.Environ(), "REVIEW_PANIC=1")
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "the process has ended: %.300s", out)
		return
	}
	var o order
	f := newSilenceFront(t, 2, func(*direct.Route) {}, func(i int, w http.ResponseWriter, r *http.Request) {
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			pause(r, time.Second)
		} else {
			w.Header().Set("X-Panic", "1")
		}
		fmt.Fprint(w, "ok")
	})
	f.dialect = panickingDialect{}
	_, _, _ = f.get(t.Context(), "a")
}

// TestTwoServersWorkBrieflyBesideFewResponses is TestTwoServersWorkBriefly with a backup at a sound server that sends
// other responses, though only a few a second, and begins this one after a second.
func TestTwoServersWorkBrieflyBesideFewResponses(t *testing.T) {
	var o order
	var mu sync.Mutex
	started, ended := map[int]time.Time{}, map[int]time.Time{}
	f := newSilenceFront(t, 2, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") != "a" {
			startStream(w)
			for n := 1; pause(r, 700*time.Millisecond) && n < 10; n++ {
				sendEvents(w, n, n)
			}
			return
		}
		role := o.role("a", i)
		mu.Lock()
		started[role] = time.Now()
		mu.Unlock()
		defer func() {
			mu.Lock()
			ended[role] = time.Now()
			mu.Unlock()
		}()
		if role == 0 {
			startStream(w)
			sendEvents(w, 1, 2)
			pause(r, 5*time.Second)
			return
		}
		if pause(r, 1100*time.Millisecond) {
			startStream(w)
			sendEvents(w, nextEvent(r), 4)
		}
	})
	for n := range 2 {
		go func() { _, _, _ = f.get(t.Context(), fmt.Sprint("other-", n)) }()
	}
	time.Sleep(50 * time.Millisecond)
	_, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, wholeStream(4), body)
	mu.Lock()
	defer mu.Unlock()
	require.Less(t, ended[0].Sub(started[1]), 400*time.Millisecond, "two servers worked on one request")
}
