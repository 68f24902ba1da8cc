package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
	"github.com/stretchr/testify/require"
)

// floodBytes is how much a faulty server sends, far more than a response's head may hold.
const floodBytes = 64 << 20

// serveOnce returns a connection to a server that sends text and then a pattern over and over.
func serveOnce(t *testing.T, text, pattern string) *Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		defer raw.Close()
		_, _ = io.WriteString(raw, text)
		block := bytes.Repeat([]byte(pattern), 1<<20/max(len(pattern), 1))
		for sent := 0; len(block) > 0 && sent < floodBytes; sent += len(block) {
			if _, err := raw.Write(block); err != nil {
				return
			}
		}
	}()
	conn, err := NewPool(Options{DialTimeout: time.Minute}).Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func always(*http.Response) bool { return true }

// TestHeadFloodIsBounded guards against routers that run out of memory, since a faulty server sends a
// status line, a header or headers without an end.
func TestHeadFloodIsBounded(t *testing.T) {
	for name, flood := range map[string][2]string{
		"status line":   {"", "x"},
		"header":        {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := serveOnce(t, flood[0], flood[1])
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := conn.ReadResponse(http.MethodGet, always)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64*maxHeadBytes))
		})
	}
}

// TestHeadLimitEndsWithTheHead reads a body that is larger than a head may be, on a connection that has
// delivered a response before.
func TestHeadLimitEndsWithTheHead(t *testing.T) {
	body := strings.Repeat("b", 4*maxHeadBytes)
	response := "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\nA: " + strings.Repeat("a", maxHeadBytes/2) + "\r\n\r\n" + body
	conn := serveOnce(t, response+response, "")
	for range 2 {
		got, err := conn.ReadResponse(http.MethodGet, always)
		require.NoError(t, err)
		read, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		require.Equal(t, body, string(read))
	}
}

// TestSlowHeadEnds guards against servers that hold a request by sending a head slowly and without an
// end. Bytes that have arrived are read however late this process is.
func TestSlowHeadEnds(t *testing.T) {
	conn := serveOnce(t, "HTTP/1.1 200 OK\r\n", "")
	require.Eventually(t, func() bool { return socket.Peek(conn.Conn) == socket.Readable }, 10*time.Second, time.Millisecond)
	late := time.Now().Add(-2 * maxHeadTime)
	conn.head.limit(maxHeadBytes)
	conn.head.begunAt = late
	_, err := conn.head.Read(make([]byte, floodBytes))
	require.NoError(t, err, "the bytes were there")
	_, err = conn.head.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrHeadTooSlow)
	conn.head.limit(maxHeadBytes)
	_, err = conn.head.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "each head has its own time")
}

// TestProtocolPrefix checks that bytes which begin no response are detected at the first wrong one.
func TestProtocolPrefix(t *testing.T) {
	for text, want := range map[string]error{
		"x": ErrNoResponse, "HTTP/x": ErrNoResponse, "\r\n": ErrNoResponse, "HTTP/1.1": nil, "HTTP/1.0": nil, "HTTP/": io.EOF, "": io.EOF,
	} {
		require.Equal(t, want, awaitProtocol(bufio.NewReader(strings.NewReader(text))), "%q", text)
	}
}

// TestSlowStaleBodyEnds guards against requests that are held since a server goes on sending a response to an
// earlier request: its head and its body have one time limit.
func TestSlowStaleBodyEnds(t *testing.T) {
	const interval = 1500 * time.Millisecond
	server, raw := net.Pipe()
	head := &headReader{source: raw}
	conn := &Conn{Conn: raw, head: head, reader: bufio.NewReader(head), progress: &progressTime{now: func() time.Duration { return 0 }}}
	t.Cleanup(func() { conn.Close() })
	go func() {
		_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			time.Sleep(interval)
			_, err = io.WriteString(server, "1;x\r\nx\r\n")
		}
	}()
	start := time.Now()
	_, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return false })
	require.Error(t, err)
	require.Less(t, time.Since(start), maxHeadTime+interval)
}
