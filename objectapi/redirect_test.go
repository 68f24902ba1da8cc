package objectapi

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestRedirectedWriteIsNotDone guards against a write that counts as done since the response redirects it: net/http
// turns it into a read, which succeeds.
func TestRedirectedWriteIsNotDone(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodGet {
					http.Redirect(w, r, r.URL.Path, status)
					return
				}
				w.Header().Set("ETag", `"8"`)
			})
			_, err := client.Put(t.Context(), BundlePointer, nil, 7)
			require.True(t, errors.Is(err, ErrUnavailable), "%v", err)
		})
	}
}

// TestOnlyOKHoldsAnObject guards against responses without an object, or with a part of one, that count as one.
func TestOnlyOKHoldsAnObject(t *testing.T) {
	for _, status := range []int{
		http.StatusCreated, http.StatusAccepted, http.StatusNoContent, http.StatusPartialContent, http.StatusMultipleChoices,
		http.StatusFound,
	} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", `"8"`)
				w.WriteHeader(status)
			})
			_, err := client.Get(t.Context(), BundlePointer)
			require.True(t, errors.Is(err, ErrUnavailable), "%v", err)
			_, err = client.Hosts(t.Context())
			require.True(t, errors.Is(err, ErrUnavailable), "%v", err)
		})
	}
}
