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

// newTestCallers returns an account of connections with memory for all that they hold.
func newTestCallers(most int, cores float64) *callers {
	return newCallers(most, cores, newTestQueues(1<<20))
}

// newTestQueues returns queues that share so many bytes of memory.
func newTestQueues(most int64) *sendqueue.Queues {
	return sendqueue.NewQueues(memory.NewBudget(most), func(sendqueue.UnreadResponse) {})
}

// TestSweepLeavesUnreadRequests has a late router close connections at rest: one
// whose request it has not come to read yet stays open. Found on the grown sites
// as LOST, beside changes of the configuration on a router without processor
// time.
func TestSweepLeavesUnreadRequests(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	c := newTestCallers(2, 0)
	accept := func() (client net.Conn, server *callerConn) {
		client, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		conn, err := listener{inner, c, func() bool { return false }, time.Sleep}.Accept()
		require.NoError(t, err)
		c.state(conn, http.StateIdle)
		return client, conn.(*callerConn)
	}
	asking, late := accept()
	quiet, atRest := accept()
	defer asking.Close()
	defer quiet.Close()
	_, err = asking.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return socket.Look(late.Conn) == socket.Bytes }, 10*time.Second, time.Millisecond)

	require.True(t, c.unread())
	c.sweep(time.Nanosecond)

	require.False(t, late.closed)
	require.Equal(t, socket.Bytes, socket.Look(late.Conn))
	require.True(t, atRest.closed)
	require.Len(t, c.places, 1, "a closed connection gives its place back")
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
	c := newTestCallers(10, 0.144)
	late, paused := true, time.Duration(0)
	first := dial()
	var second net.Conn
	l := listener{inner, c, func() bool { return late }, func(d time.Duration) {
		paused += d
		switch {
		case paused < queueAge:
			require.Zero(t, c.unserved.Load(), "after %v", paused)
		case second == nil && c.unserved.Load() > 0:
			late = false
			second = dial()
		}
	}}
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.Equal(t, second.LocalAddr().String(), accepted.RemoteAddr().String())
	require.EqualValues(t, 1, c.unserved.Load())
	require.LessOrEqual(t, paused, queueAge+2*intakePoll)
	_, err = first.Read(make([]byte, 1))
	require.Error(t, err, "closed unread")
}

// TestUnreadConnectionsHoldOthersBack has as many connections wait unread as the
// host reads in good time: the next is not accepted until one of them is read.
func TestUnreadConnectionsHoldOthersBack(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	c := newTestCallers(100, 0.01)
	pauses := 0
	var taken []net.Conn
	l := listener{inner, c, func() bool { return false }, func(time.Duration) {
		pauses++
		c.state(taken[0], http.StateActive)
	}}
	for range pressure.MinUnreadConns + 1 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		accepted, err := l.Accept()
		require.NoError(t, err)
		taken = append(taken, accepted)
	}
	require.Equal(t, 1, pauses)
	require.Equal(t, pressure.MinUnreadConns, c.fresh.Count())
}

// TestLateRouterKeepsFewConnections has a router close some connections while it runs
// late, and keep as many as it may hold while it does not.
func TestLateRouterKeepsFewConnections(t *testing.T) {
	c := newTestCallers(1000, 0.1)
	for range c.kept {
		c.places <- struct{}{}
	}
	require.False(t, c.crowded(true))
	c.places <- struct{}{}
	require.True(t, c.crowded(true))
	require.False(t, c.crowded(false))
	for len(c.places) <= int(crowdedPart*1000) {
		c.places <- struct{}{}
	}
	require.True(t, c.crowded(false))
	require.False(t, c.full())
	for len(c.places) < cap(c.places) {
		c.places <- struct{}{}
	}
	require.True(t, c.full(), "without a place, what waits in the queue is closed too")
	require.False(t, newTestCallers(10, 0).crowded(true), "the power of the host is not known")
}

// TestStalledCallersGiveWay has callers that stopped in their bodies hold all connections: where a new
// one comes, the one that stopped longest ago is closed, and none that has gone on lately.
func TestStalledCallersGiveWay(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	c := newTestCallers(3, 0)
	var held []*callerConn
	for range 3 {
		client, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer client.Close()
		conn, err := listener{inner, c, func() bool { return false }, time.Sleep}.Accept()
		require.NoError(t, err)
		c.state(conn, http.StateActive)
		held = append(held, conn.(*callerConn))
	}
	require.True(t, c.full())
	for i, ago := range []time.Duration{2 * stalledLeast, 3 * stalledLeast, stalledLeast / 2} {
		held[i].bodyAt.Store(int64(c.queues.Now() - ago))
	}
	require.False(t, c.full())
	require.Equal(t, socket.Ended, socket.Look(held[1].Conn), "it stopped longest ago")
	require.Equal(t, socket.Nothing, socket.Look(held[0].Conn))
	require.False(t, c.full(), "there is a place")
	require.Len(t, c.places, 2)
}
