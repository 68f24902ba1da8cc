package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnswerOfGatewayIsNoAnswer guards against responses that look whole since something in front of their server
// answers that it does not respond.
func TestAnswerOfGatewayIsNoAnswer(t *testing.T) {
	for _, status := range []int{http.StatusBadGateway, http.StatusGatewayTimeout} {
		f := newSilenceFront(t, 1, isAtMostOnce, func(_ int, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/report" {
				w.WriteHeader(status)
				return
			}
			sendUnframed(w, r, "first,", "")
		})
		f.dialect = reportingDialect{}
		got, body, err := f.get(t.Context(), "a")
		require.False(t, err == nil && got == http.StatusOK, "%d: %q looks whole", status, body)
	}
}
