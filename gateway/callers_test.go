package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/croftvale/croftvale/gateway/memory"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/sendqueue"
	"github.com/croftvale/croftvale/internal/socket"
	"github.com/stretchr/testify/require"
)

// newTestCallerConns returns a connection table with memory for all that it holds.
func newTestCallerConns(maxConns int, cores float64) *callerConns {
	return newCallerConns(maxConns, cores, newTestQueues(1<<20))
}

// newTestQueues returns send queues that share maxBytes of memory.
func newTestQueues(maxBytes int64) *sendqueue.Queues {
	return sendqueue.NewQueues(memory.NewBudget(maxBytes), func(sendqueue.UnreadResponse) {})
}

// TestSweepLeavesUnreadRequests guards against lost requests: a late router that closes
// idle connections must keep one whose request it has not read yet. Such requests were lost
// while the configuration changed on a router without processor time.
func TestSweepLeavesUnreadRequests(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	c := newTestCallerConns(2, 0)
	accept := func() (client net.Conn, server *callerConn) {
		client, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		conn, err := callerListener{inner, c, func() bool { return false }, time.Sleep}.Accept()
		require.NoError(t, err)
		c.connState(conn, http.StateIdle)
		return client, conn.(*callerConn)
	}
	unreadClient, unread := accept()
	idleClient, idle := accept()
	defer unreadClient.Close()
	defer idleClient.Close()
	_, err = unreadClient.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return socket.Peek(unread.Conn) == socket.Readable }, 10*time.Second, time.Millisecond)

	require.True(t, c.hasUnreadRequests())
	c.closeIdle(time.Nanosecond)

	require.False(t, unread.closed)
	require.Equal(t, socket.Readable, socket.Peek(unread.Conn))
	require.True(t, idle.closed)
	require.Len(t, c.slots, 1, "a closed connection frees its slot")
}

// TestLateRouterTakesInNoMore checks that a late router closes queued connections unread
// after a moment, and accepts again once it has caught up. Otherwise a flood of 2,500 new
// connections a second through one host of 0.144 cores is read half a second late, and with
// it all that the host serves.
func TestLateRouterTakesInNoMore(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	c := newTestCallerConns(10, 0.144)
	late, paused := true, time.Duration(0)
	first := dial()
	var second net.Conn
	ln := callerListener{inner, c, func() bool { return late }, func(d time.Duration) {
		paused += d
		switch {
		case paused < maxQueueTime:
			require.Zero(t, c.unserved.Load(), "after %v", paused)
		case second == nil && c.unserved.Load() > 0:
			late = false
			second = dial()
		}
	}}
	accepted, err := ln.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.Equal(t, second.LocalAddr().String(), accepted.RemoteAddr().String())
	require.EqualValues(t, 1, c.unserved.Load())
	require.LessOrEqual(t, paused, maxQueueTime+2*acceptPollInterval)
	_, err = first.Read(make([]byte, 1))
	require.Error(t, err, "closed unread")
}

// TestUnreadConnectionsHoldOthersBack checks that with as many unread connections as the
// host can read in time, the next one is accepted only after one of them has been read.
func TestUnreadConnectionsHoldOthersBack(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	c := newTestCallerConns(100, 0.01)
	pauses := 0
	var serverConns []net.Conn
	ln := callerListener{inner, c, func() bool { return false }, func(time.Duration) {
		pauses++
		c.connState(serverConns[0], http.StateActive)
	}}
	for range pressure.MinUnreadConns + 1 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		accepted, err := ln.Accept()
		require.NoError(t, err)
		serverConns = append(serverConns, accepted)
	}
	require.Equal(t, 1, pauses)
	require.Equal(t, pressure.MinUnreadConns, c.unreadConns.Count())
}

// TestLateRouterKeepsFewConnections checks that a late router closes connections above its
// lower limit, and that other routers close them only above closeFraction of the slots.
func TestLateRouterKeepsFewConnections(t *testing.T) {
	c := newTestCallerConns(1000, 0.1)
	for range c.maxWhenLate {
		c.slots <- struct{}{}
	}
	require.False(t, c.shouldClose(true))
	c.slots <- struct{}{}
	require.True(t, c.shouldClose(true))
	require.False(t, c.shouldClose(false))
	for len(c.slots) <= int(closeFraction*1000) {
		c.slots <- struct{}{}
	}
	require.True(t, c.shouldClose(false))
	require.False(t, c.full())
	for len(c.slots) < cap(c.slots) {
		c.slots <- struct{}{}
	}
	require.True(t, c.full(), "without a free slot, queued connections are closed too")
	require.False(t, newTestCallerConns(10, 0).shouldClose(true), "the number of cores is unknown")
}

// TestNewCallerReplacesLongestStalled checks that if callers that stopped while sending
// their bodies hold all slots, a new connection closes the one that stopped longest ago, and
// none that has sent data recently.
func TestNewCallerReplacesLongestStalled(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	c := newTestCallerConns(3, 0)
	var held []*callerConn
	for range 3 {
		client, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer client.Close()
		conn, err := callerListener{inner, c, func() bool { return false }, time.Sleep}.Accept()
		require.NoError(t, err)
		c.connState(conn, http.StateActive)
		held = append(held, conn.(*callerConn))
	}
	require.True(t, c.full())
	for i, ago := range []time.Duration{2 * minStall, 3 * minStall, minStall / 2} {
		held[i].bodyReadAt.Store(int64(c.queues.Now() - ago))
	}
	require.False(t, c.full())
	require.Equal(t, socket.Closed, socket.Peek(held[1].Conn), "it has stalled longest")
	require.Equal(t, socket.Idle, socket.Peek(held[0].Conn))
	require.False(t, c.full(), "a slot is free")
	require.Len(t, c.slots, 2)
}
