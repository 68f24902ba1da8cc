package objectapi

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestObjectWithoutAVersionIsNoObject guards against watches that return at once, again and again, since an object whose
// version is not told counts as one at version 0.
func TestObjectWithoutAVersionIsNoObject(t *testing.T) {
	for _, tag := range []string{"", `""`, `"x"`, `"-1"`, `"18446744073709551616"`} {
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", tag)
			_, _ = w.Write([]byte("content"))
		})
		_, err := client.Watch(t.Context(), BundlePointer, 7)
		require.True(t, errors.Is(err, ErrUnavailable), "%q: %v", tag, err)
	}
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `W/"8"`) })
	object, err := client.Watch(t.Context(), BundlePointer, 7)
	require.NoError(t, err)
	require.EqualValues(t, 8, object.Version)
}
