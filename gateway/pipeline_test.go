package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSweepLeavesPipelinedRequests guards against a request that is dropped while its handler runs: it arrived with the
// one before it, so that nothing was read from its connection after that was answered.
func TestSweepLeavesPipelinedRequests(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		t.Run(fmt.Sprint("pipelined=", pipelined), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			c := newTestCallerConns(10, 0)
			server := &http.Server{
				ConnContext: c.connContext, ConnState: c.connState,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/slow" && !pause(r, time.Second) {
						panic(http.ErrAbortHandler) // the caller has left, so it seems
					}
					fmt.Fprint(w, "ok")
				}),
			}
			go func() { _ = server.Serve(callerListener{inner, c, func() bool { return false }, time.Sleep}) }()
			defer server.Close()
			client, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			first, second := "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
			reader := bufio.NewReader(client)
			read := func() {
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				body := make([]byte, 2)
				_, err = resp.Body.Read(body)
				_ = err
				require.Equal(t, "ok", string(body))
				resp.Body.Close()
			}
			if pipelined {
				_, _ = client.Write([]byte(first + second))
				read()
			} else {
				_, _ = client.Write([]byte(first))
				read()
				_, _ = client.Write([]byte(second))
			}
			time.Sleep(300 * time.Millisecond)
			c.closeIdle(100 * time.Millisecond)
			read()
		})
	}
}
