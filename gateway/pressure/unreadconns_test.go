package pressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFreshCountsWhatWaits checks that a connection counts until it is read or closed, and for at
// most unreadConnTTL.
func TestFreshCountsWhatWaits(t *testing.T) {
	c := NewUnreadConns(0.144)
	at := time.Now()
	conns := make([]*AcceptedConn, c.limit)
	for i := range conns {
		require.False(t, c.Full(at))
		conns[i] = &AcceptedConn{At: at}
		c.Add(conns[i])
	}
	require.True(t, c.Full(at))
	c.Remove(conns[3])
	c.Remove(conns[3])
	require.False(t, c.Full(at))
	require.Equal(t, len(conns)-1, c.count, "a connection counts once")
	c.Add(&AcceptedConn{At: at.Add(unreadConnTTL / 2)})
	require.True(t, c.Full(at))
	require.False(t, c.Full(at.Add(unreadConnTTL)), "connections that are unread for too long no longer count")
	require.Equal(t, 1, c.count)
}

// TestUnreadConnsWithUnknownCores checks that there is no limit if the number of cores is unknown.
func TestUnreadConnsWithUnknownCores(t *testing.T) {
	var c UnreadConns
	for range 10000 {
		c.Add(&AcceptedConn{At: time.Now()})
	}
	require.False(t, c.Full(time.Now()))
}
