package pressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFreshCountsWhatWaits checks that a connection counts until it is read, is closed, or has been
// idle for unreadConnTTL.
func TestFreshCountsWhatWaits(t *testing.T) {
	f := NewUnreadConns(0.144)
	at := time.Now()
	conns := make([]*AcceptedConn, f.limit)
	for i := range conns {
		require.False(t, f.Full(at))
		conns[i] = &AcceptedConn{At: at}
		f.Add(conns[i])
	}
	require.True(t, f.Full(at))
	f.Remove(conns[3])
	f.Remove(conns[3])
	require.False(t, f.Full(at))
	require.Equal(t, len(conns)-1, f.count, "a connection counts once")
	f.Add(&AcceptedConn{At: at.Add(unreadConnTTL / 2)})
	require.True(t, f.Full(at))
	require.False(t, f.Full(at.Add(unreadConnTTL)), "idle connections no longer count")
	require.Equal(t, 1, f.count)
}

// TestUnreadConnsWithUnknownCores checks that there is no limit if the number of cores is unknown.
func TestUnreadConnsWithUnknownCores(t *testing.T) {
	var f UnreadConns
	for range 10000 {
		f.Add(&AcceptedConn{At: time.Now()})
	}
	require.False(t, f.Full(time.Now()))
}
