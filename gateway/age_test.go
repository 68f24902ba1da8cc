package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAges tells requests that come back from new ones, by the time that they
// have left, for each route on its own.
func TestAges(t *testing.T) {
	var a callerAges
	require.Zero(t, a.of(0, "reports", 15*time.Second))
	require.Zero(t, a.of(time.Second, "reports", 14900*time.Millisecond), "noise")
	require.Equal(t, 1200*time.Millisecond, a.of(time.Second, "reports", 13800*time.Millisecond))
	require.Zero(t, a.of(time.Second, "tags", 2500*time.Millisecond))
	require.Equal(t, 500*time.Millisecond, a.of(time.Second, "tags", 2*time.Second))
	require.Zero(t, a.of(time.Second, "tags", 0), "no time given")
	require.Zero(t, a.of(time.Minute, "tags", 2*time.Second), "the longest is forgotten")
	a.keep(func(route string) bool { return route == "reports" })
	require.Len(t, a.longest, 1)
}
