package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/stretchr/testify/require"
)

// freeFront returns a front whose only team may send requests to the server at an address. Its dialect
// panics when a request is sent there.
func freeFront(t *testing.T, address string, log io.Writer) *front {
	f := floodedFront(t)
	f.log = eventlog.New(log, "test")
	f.pool = backend.NewPool(backend.Options{DialTimeout: time.Second, MaxIdlePerAddress: 1})
	f.endProcess = func(any) { runtime.Goexit() }
	f.feeds.Config.Offer(&direct.Config{
		Version:  2,
		Routes:   []direct.Route{{Name: "r", Host: "h", Prefix: "/", Kind: direct.Stream, Split: []direct.WeightedService{{Service: "llm", Weight: 1}}, Objective: time.Second}},
		Services: []direct.Service{{Name: "llm", Engine: &direct.Engine{Slots: 8, KVTokens: 100000}}},
		Teams:    []direct.Team{{Name: "flood", Keys: []string{"key"}}},
		Limits:   direct.Limits{BodyBytes: 100},
	}, "test")
	f.core.Update(direct.ServersMsg{Directory: direct.Directory{Revision: 2, Servers: []direct.Server{{ID: "i-2", Service: "llm", Slots: 8, Address: address}}}})
	f.core.Update(direct.TickMsg{Now: 10 * time.Second})
	return f
}

// runningAt returns the number of requests that the machine counts at a server.
func (f *front) runningAt(id string) int {
	for _, s := range f.core.serverStates() {
		if s.ID == id {
			return s.Running
		}
	}
	return -1
}

func post(t *testing.T, url string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("ab"))
	require.NoError(t, err)
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err, "the caller must get a response")
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// TestPanicCostsItsOwnRequest guards against requests without a response: a panic of a handler closed the
// caller's connection without a word, and the request kept its place at its server for ever.
func TestPanicCostsItsOwnRequest(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	var log bytes.Buffer
	f := freeFront(t, target.Addr().String(), &log)
	server := httptest.NewServer(f)
	defer server.Close()

	for range 3 {
		resp := post(t, server.URL+"/x")
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
		require.True(t, resp.Close)
		conn, err := target.Accept()
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection to the server is closed")
		_ = conn.Close()
	}

	require.True(t, f.core.isConsistent())
	require.Zero(t, f.runningAt("i-2"))
	require.Zero(t, f.active.Load())
	f.log.Close()
	require.Equal(t, 3, strings.Count(log.String(), "handler_panicked"))
}

// TestPanicAfterTheResponseHasBegun guards against a response that ends early and looks complete.
func TestPanicAfterTheResponseHasBegun(t *testing.T) {
	f := freeFront(t, "", io.Discard)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watched := &watchedWriter{ResponseWriter: w}
		defer f.handlePanic(watched, r)
		_, _ = watched.Write([]byte("begun"))
		_ = http.NewResponseController(watched).Flush()
		panic("fails")
	}))
	defer server.Close()
	body, err := io.ReadAll(post(t, server.URL).Body)
	require.Equal(t, "begun", string(body))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestPanicInUpdateEndsTheProcess guards against requests that are routed on inconsistent state: net/http
// recovers the panic of a handler, and the next update would clear the mark of the one that panicked.
func TestPanicInUpdateEndsTheProcess(t *testing.T) {
	var log bytes.Buffer
	f := freeFront(t, "", &log)
	logged := make(chan string, 1)
	f.endProcess = func(any) {
		logged <- log.String()
		runtime.Goexit()
	}
	f.core.machine = nil
	go f.ServeHTTP(httptest.NewRecorder(), &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/x", Header: http.Header{}})
	select {
	case lines := <-logged:
		require.Contains(t, lines, `"event":"handler_panicked"`)
		require.Contains(t, lines, `"consistent":false`)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the process went on")
	}
	f.core.machine = direct.NewMachine(direct.Options{})
	require.PanicsWithError(t, errInconsistent.Error(), func() { f.core.Update(direct.TickMsg{}) })
	require.False(t, f.core.isConsistent())
}

// panicEnv makes TestPanicOutsideHandlers panic in a handler of this process.
const panicEnv = "CROFTVALE_TEST_PANIC"

// TestPanicOutsideHandlers checks that the panic that ends the process is not one that net/http recovers.
func TestPanicOutsideHandlers(t *testing.T) {
	if os.Getenv(panicEnv) != "" {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panicOutside("inconsistent") }))
		defer server.Close()
		_, _ = http.Get(server.URL)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestPanicOutsideHandlers$")
	cmd.Env = append(os.Environ(), panicEnv+"=1")
	out, err := cmd.CombinedOutput()
	require.Error(t, err, "the process went on")
	require.Contains(t, string(out), "panic: inconsistent")
}
