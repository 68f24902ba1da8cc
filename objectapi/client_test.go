package objectapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// newTestClient returns a client of a platform that handles every call with handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return NewClient(strings.TrimPrefix(s.URL, "http://"))
}

// TestErrorKinds checks that each kind of failure gives its own error, in
// particular a write whose response is lost, and that messages include the remedy.
func TestErrorKinds(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	noStatus := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 000 Odd\r\nETag: \"8\"\r\nContent-Length: 2\r\n\r\n{}")
			_ = conn.Close()
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		get     error
		put     error
	}{
		{"not there", status(404), ErrNotFound, ErrNotFound},
		{"changed meanwhile", status(412), ErrConflict, ErrConflict},
		{"too many calls", status(429), ErrUnavailable, ErrUnavailable},
		{"outage", status(503), ErrUnavailable, ErrUnavailable},
		{"gateway gave up", status(504), ErrOutcomeUnknown, ErrOutcomeUnknown},
		{"no valid status", noStatus, ErrOutcomeUnknown, ErrOutcomeUnknown},
		{"nobody there", abort, ErrUnavailable, ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newTestClient(t, c.handler)
			_, err := client.Get(context.Background(), BundlePointer)
			require.True(t, errors.Is(err, c.get), "%v", err)
			require.ErrorContains(t, err, c.get.Error())
			_, err = client.Put(context.Background(), BundlePointer, nil, 3)
			require.True(t, errors.Is(err, c.put), "%v", err)
			require.ErrorContains(t, err, c.put.Error())
		})
	}
}

// TestWritesAreConditional checks the precondition headers of writes.
func TestWritesAreConditional(t *testing.T) {
	var got []http.Header
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Header)
		w.Header().Set("ETag", `"8"`)
	})
	v, err := client.Put(context.Background(), BundlePointer, nil, 0)
	require.NoError(t, err)
	require.EqualValues(t, 8, v)
	_, err = client.Put(context.Background(), BundlePointer, nil, 7)
	require.NoError(t, err)
	require.Equal(t, "*", got[0].Get("If-None-Match"))
	require.Equal(t, `"7"`, got[1].Get("If-Match"))
	require.EqualValues(t, 2, client.Calls())
}
