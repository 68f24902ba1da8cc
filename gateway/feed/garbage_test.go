package feed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
)

// TestGarbledPullsTakeLittleMemory guards against the content of another router that announces arrays of any
// length in a few bytes: the decoder would allocate them before it reads them.
func TestGarbledPullsTakeLittleMemory(t *testing.T) {
	const maxDecodedBytes = 1 << 20
	sender := newTestSet()
	sender.Config.Offer(&direct.Config{Version: 3, Routes: []direct.Route{{Name: "r"}}}, fromSource)
	sender.Servers.OfferAll(&direct.Directory{Revision: 9, Servers: []direct.Server{{ID: "i-1"}}}, fromSource)
	sender.Evacuations.Offer(&direct.Evacuations{Revision: 11, Halls: []string{"b"}}, fromSource)
	sender.Quarantine.Offer(&Listing[quarantine.Fingerprint]{Revision: 13, All: []quarantine.Fingerprint{7}}, fromSource)
	sender.QuarantinedParts.Offer(&Listing[quarantine.Fingerprint]{Revision: 15, All: []quarantine.Fingerprint{8}}, fromSource)
	for i, f := range sender.feeds {
		body, err := msgpack.Marshal(f.ContentSince(0))
		require.NoError(t, err)
		for at := range body {
			garbled := slices.Concat(body[:at], []byte{0xdd, 0, 0x10, 0, 0}, body[at+1:]) // an array of a million
			receiver := newTestSet()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_ = receiver.feeds[i].ApplyPulled(garbled, "test")
			runtime.ReadMemStats(&after)
			require.Less(t, int(after.TotalAlloc-before.TotalAlloc), maxDecodedBytes, fmt.Sprint(f.Spec().Name, " at ", at))
		}
	}
}

// TestPullsWithoutEnd guards against pulls that hold a router, or its memory, since the bytes of the other one
// don't end.
func TestPullsWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ prefix, pattern string }{
		"status line":       {"", "x"},
		"header value":      {head + "A: ", "x"},
		"headers":           {head, "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":              {head + "Connection: close\r\n\r\n", "x"},
		"nested body":       {head + "Connection: close\r\n\r\n", "\x91"},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailers":          {head + "Transfer-Encoding: chunked\r\n\r\n1\r\n\xc0\r\n0\r\n", "A: b\r\n"},
		"body of a 503":     {"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n", "x"},
	} {
		for _, interval := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprint(name, interval), func(t *testing.T) {
				address, closed := serveWithoutEnd(t, c.prefix, c.pattern, interval)
				set := newTestSet()
				p, err := NewPuller(set, PullOptions{ControlAddress: "127.0.0.1:1", Peers: otherHallPeers{}, Traffic: traffic.NewCounter(tally.NoopScope)})
				require.NoError(t, err)
				start := time.Now()
				require.Error(t, p.pull(t.Context(), 0, address))
				require.Less(t, time.Since(start), 2*pullTimeout)
				select {
				case <-closed:
				case <-time.After(pullTimeout):
					require.Fail(t, "the connection stays open")
				}
			})
		}
	}
}

// serveWithoutEnd answers each request with prefix, and then pattern over and over: as fast as possible, or a
// byte at a time. closed gets an element for each connection that has ended.
func serveWithoutEnd(t *testing.T, prefix, pattern string, interval time.Duration) (address string, closed <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { ended <- struct{}{} }()
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					sendWithoutEnd(conn, prefix, pattern, interval)
				}
			}()
		}
	}()
	return listener.Addr().String(), ended
}

func sendWithoutEnd(conn net.Conn, prefix, pattern string, interval time.Duration) {
	if _, err := io.WriteString(conn, prefix); err != nil {
		return
	}
	text := []byte(strings.Repeat(pattern, 1<<14))
	step := len(text)
	if interval > 0 {
		step = 1
	}
	for i := 0; ; i = (i + step) % len(text) {
		if _, err := conn.Write(text[i : i+step]); err != nil {
			return
		}
		time.Sleep(interval)
	}
}
