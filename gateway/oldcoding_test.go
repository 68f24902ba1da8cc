package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestCodingUnderHTTP10IsNoResponse guards against callers that get a part of a response, or its chunk sizes as content:
// HTTP/1.0 has no transfer codings, so that net/http takes the body as it comes.
func TestCodingUnderHTTP10IsNoResponse(t *testing.T) {
	const chunks = "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"
	for name, head := range map[string]string{
		"chunked":                "Transfer-Encoding: chunked\r\n",
		"chunked, with a length": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"lower case, folded":     "transfer-encoding:\r\n chunked\r\n",
		"after an interim":       "X-A: b\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
	} {
		for kind, edit := range map[string]func(*direct.Route){"at most once": isAtMostOnce, "repeatable": func(*direct.Route) {}} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				var o order
				f := newSilenceFront(t, 2, edit, func(i int, w http.ResponseWriter, r *http.Request) {
					if o.role(r.Header.Get("X-Id"), i) > 0 {
						_, _ = fmt.Fprint(w, "sound")
						return
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					if name == "after an interim" {
						_, _ = fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n")
					}
					_, _ = fmt.Fprint(conn, "HTTP/1.0 200 OK\r\nX-Id: a\r\nContent-Type: text/plain\r\n", head, "\r\n", chunks)
				})
				status, body, err := f.get(t.Context(), "a")
				require.NoError(t, err)
				if kind == "at most once" {
					require.Equal(t, http.StatusBadGateway, status, "%q", body)
					return
				}
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "sound", body)
			})
		}
	}
}
