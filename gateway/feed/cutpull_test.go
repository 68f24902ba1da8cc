package feed

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
)

// TestCutContentIsNotApplied guards against a part of another router's content that counts as all of it, such as fewer
// servers, since that router ended amid the head or the body of its response.
func TestCutContentIsNotApplied(t *testing.T) {
	sender := newTestSet()
	sender.Config.Offer(&direct.Config{Version: 3}, fromSource)
	sender.Servers.OfferAll(&direct.Directory{Revision: 9, Servers: []direct.Server{{ID: "i-1"}, {ID: "i-2"}}}, fromSource)
	sender.Evacuations.Offer(&direct.Evacuations{Revision: 11, Halls: []string{"b"}}, fromSource)
	sender.Quarantine.Offer(&Listing[quarantine.Fingerprint]{Revision: 13, All: []quarantine.Fingerprint{7}}, fromSource)
	sender.QuarantinedParts.Offer(&Listing[quarantine.Fingerprint]{Revision: 15, All: []quarantine.Fingerprint{8}}, fromSource)
	for framing, head := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nX-Bytes: %d\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\nX-Bytes: %d\n\n",
	} {
		for i, f := range sender.feeds {
			t.Run(framing+"/"+f.Spec().Name, func(t *testing.T) {
				body, err := msgpack.Marshal(f.ContentSince(0))
				require.NoError(t, err)
				text := fmt.Sprintf(head, len(body)) + string(body)
				end := 0
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						_, _ = fmt.Fprint(conn, text[:end])
						_ = conn.Close()
					}
				}))
				defer server.Close()
				receiver := newTestSet()
				p, err := NewPuller(receiver, PullOptions{ControlAddress: "127.0.0.1:1", Peers: otherHallPeers{}, Traffic: traffic.NewCounter(tally.NoopScope)})
				require.NoError(t, err)
				for end = range text {
					require.Error(t, p.pull(t.Context(), i, server.Listener.Addr().String()), "%q", text[:end])
					require.False(t, receiver.feeds[i].HasContent(), "%q", text[:end])
				}
			})
		}
	}
}
