package objectapi

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestResponseWithoutAListIsNoList guards against routers that take all hosts for gone, since the response holds no list,
// or more than one.
func TestResponseWithoutAListIsNoList(t *testing.T) {
	for _, body := range []string{``, `null`, `{}`, `[`, `[]]`, `[] []`, `[]{"error":"timeout"}`} {
		t.Run(body, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
			_, err := client.Hosts(t.Context())
			require.True(t, errors.Is(err, ErrUnavailable), "%v", err)
		})
	}
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("[]\n")) })
	hosts, err := client.Hosts(t.Context())
	require.NoError(t, err)
	require.Empty(t, hosts)
}
