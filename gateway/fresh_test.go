package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFreshCountsWhatWaits counts connections until they are read, closed, or have
// been quiet for too long to be waiting.
func TestFreshCountsWhatWaits(t *testing.T) {
	f := newFresh(0.144)
	at := time.Now()
	conns := make([]*callerConn, f.most)
	for i := range conns {
		require.False(t, f.full(at))
		conns[i] = &callerConn{acceptedAt: at}
		f.add(conns[i])
	}
	require.True(t, f.full(at))
	f.remove(conns[3])
	f.remove(conns[3])
	require.False(t, f.full(at))
	require.Equal(t, len(conns)-1, f.count, "a connection counts once")
	f.add(&callerConn{acceptedAt: at.Add(freshLasts / 2)})
	require.True(t, f.full(at))
	require.False(t, f.full(at.Add(freshLasts)), "quiet connections do not wait")
	require.Equal(t, 1, f.count)
}

// TestFreshWithoutPower has no bound where the power of the host is not known.
func TestFreshWithoutPower(t *testing.T) {
	var f fresh
	for range 10000 {
		f.add(&callerConn{acceptedAt: time.Now()})
	}
	require.False(t, f.full(time.Now()))
}
