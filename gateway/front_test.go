package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateRouterDisownsNothing has a router that is too late to have read the
// newest configuration send callers on, where it would say that there is no such
// route or key. Found on a grown site as CONFIG.
func TestLateRouterDisownsNothing(t *testing.T) {
	f := &front{core: &core{}}
	_, status, reason := f.unknown(http.StatusNotFound, "no_route")
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, "no_route", reason)
	f.core.pressure.note(0, time.Second)
	_, status, reason = f.unknown(http.StatusNotFound, "no_route")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, reasonPressure, reason)
}
