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

// newTestCallerConns returns an account of connections with memory for all that they hold.
func newTestCallerConns(maxConns int, cores float64) *callerConns {
	return newCallerConns(maxConns, cores, newTestQueues(1<<20))
}

// newTestQueues returns queues that share so many bytes of memory.
func newTestQueues(maxBytes int64) *sendqueue.Queues {
	return sendqueue.NewQueues(memory.NewBudget(maxBytes), func(sendqueue.Loss) {})
}

// TestSweepLeavesUnreadRequests has a late router close connections at rest: one
// whose request it has not come to read yet stays open. Found on the grown sites
// as LOST, beside changes of the configuration on a router without processor
// time.
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
	require.Eventually(t, func() bool { return socket.Look(unread.Conn) == socket.Bytes }, 10*time.Second, time.Millisecond)

	require.True(t, c.hasUnreadRequests())
	c.closeIdle(time.Nanosecond)

	require.False(t, unread.closed)
	require.Equal(t, socket.Bytes, socket.Look(unread.Conn))
	require.True(t, idle.closed)
	require.Len(t, c.slots, 1, "a closed connection gives its place back")
}

// TestLateRouterTakesInNoMore has a router run late for some time: what waits in its
// socket's queue is closed unread after a moment, and it accepts again when it keeps
// up. Found on the large site: a flood of 2,500 new connections a second through one
// host of 0.144 cores was read half a second late, and with it all that the host
// served.
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

// TestUnreadConnectionsHoldOthersBack has as many connections wait unread as the
// host reads in good time: the next is not accepted until one of them is read.
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

// TestLateRouterKeepsFewConnections has a router close some connections while it runs
// late, and keep as many as it may hold while it does not.
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
	require.True(t, c.full(), "without a place, what waits in the queue is closed too")
	require.False(t, newTestCallerConns(10, 0).shouldClose(true), "the power of the host is not known")
}

// TestNewCallerReplacesLongestStalled has callers that stopped in their bodies hold all connections: where a new
// one comes, the one that stopped longest ago is closed, and none that has gone on lately.
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
	require.Equal(t, socket.Ended, socket.Look(held[1].Conn), "it stopped longest ago")
	require.Equal(t, socket.Nothing, socket.Look(held[0].Conn))
	require.False(t, c.full(), "there is a place")
	require.Len(t, c.slots, 2)
}
