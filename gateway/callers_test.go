package gateway

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
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

// newConn returns a new connection of a caller, with the caller's end.
func newConn(t *testing.T, c *callerConns) (net.Conn, *callerConn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	conn, err := callerListener{inner, c, func() bool { return false }, time.Sleep}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn.(*callerConn)
}

// idleConns returns n connections of callers, all of which are idle, with the callers' ends.
func idleConns(t *testing.T, c *callerConns, n int) (clients []net.Conn, conns []*callerConn) {
	for range n {
		client, conn := newConn(t, c)
		c.connState(conn, http.StateIdle)
		clients, conns = append(clients, client), append(conns, conn)
	}
	return clients, conns
}

const testRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// sendTestRequest sends a request and waits until it can be read.
func sendTestRequest(t *testing.T, client net.Conn, conn *callerConn) {
	_, err := client.Write([]byte(testRequest))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return socket.Peek(conn.Conn) == socket.Readable }, 10*time.Second, time.Millisecond)
}

// TestSweepLeavesUnreadRequests guards against lost requests: a late router that closes
// idle connections must keep one whose request it has not read yet. Such requests were lost
// while the configuration changed on a router without processor time.
func TestSweepLeavesUnreadRequests(t *testing.T) {
	c := newTestCallerConns(2, 0)
	clients, conns := idleConns(t, c, 2)
	unread, idle := conns[0], conns[1]
	sendTestRequest(t, clients[0], unread)

	require.True(t, c.hasUnreadRequests())
	c.closeIdle(time.Nanosecond)

	buf := make([]byte, len(testRequest))
	n, err := unread.Read(buf)
	require.NoError(t, err)
	require.Equal(t, testRequest, string(buf[:n]))
	_, err = idle.Read(buf)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the goroutine that reads closes the connection")
	require.NoError(t, idle.Close())
	require.Len(t, c.slots, 1, "a closed connection frees its slot")
}

// TestRequestThatCrossesASweepIsRead guards against requests that are dropped without a word: one that
// arrives after its connection was found idle, and before it is closed, is read and can be answered.
func TestRequestThatCrossesASweepIsRead(t *testing.T) {
	c := newTestCallerConns(1, 0)
	clients, conns := idleConns(t, c, 1)
	c.closeIdle(time.Nanosecond)
	sendTestRequest(t, clients[0], conns[0])

	buf := make([]byte, len(testRequest))
	n, err := conns[0].Read(buf[:4])
	require.NoError(t, err)
	m, err := conns[0].Read(buf[n:])
	require.NoError(t, err, "the deadline of the idle connection does not hold for its request")
	require.Equal(t, testRequest, string(buf[:n+m]))
	_, err = conns[0].Write([]byte("answer"))
	require.NoError(t, err)
	_, err = io.ReadFull(clients[0], buf[:len("answer")])
	require.NoError(t, err)
}

// TestSweepLeavesRequestsThatAreBeingRead guards against requests that are dropped without a word: the
// router has read one from its connection, but the http.Server has not reported it yet.
func TestSweepLeavesRequestsThatAreBeingRead(t *testing.T) {
	c := newTestCallerConns(1, 0)
	clients, conns := idleConns(t, c, 1)
	sendTestRequest(t, clients[0], conns[0])
	buf := make([]byte, len(testRequest))
	_, err := conns[0].Read(buf)
	require.NoError(t, err)
	require.Equal(t, socket.Idle, socket.Peek(conns[0].Conn))
	c.closeIdle(time.Nanosecond)

	sendTestRequest(t, clients[0], conns[0])
	_, err = conns[0].Read(buf)
	require.NoError(t, err)
	c.connState(conns[0], http.StateIdle)
	c.closeIdle(time.Nanosecond)
	_, err = conns[0].Read(buf)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "idle again")
}

// TestFirstRequestIsReadAfterTheHeaderTimeout guards against a first request that a late router leaves unread,
// since the time for the headers of a new connection has passed when it gets to it.
func TestFirstRequestIsReadAfterTheHeaderTimeout(t *testing.T) {
	c := newTestCallerConns(1, 0)
	client, conn := newConn(t, c)
	sendTestRequest(t, client, conn)
	require.NoError(t, conn.SetReadDeadline(longAgo))
	buf := make([]byte, len(testRequest))
	_, err := conn.Read(buf[:4])
	require.NoError(t, err)

	require.NoError(t, conn.SetReadDeadline(longAgo))
	_, err = conn.Read(buf[4:])
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the deadline holds within a request")
}

// keptCallers is the number of connections of TestEveryRequestThatIsReadIsAnswered.
const keptCallers = 1200

// TestEveryRequestThatIsReadIsAnswered keeps many callers on open connections while the idle timeout is
// lowered and raised all the time. A request may cross a close, but then the handler never sees it.
func TestEveryRequestThatIsReadIsAnswered(t *testing.T) {
	c := newTestCallerConns(2*keptCallers, 0)
	var handled atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = w.Write([]byte("answer"))
	})
	server := &http.Server{Handler: handler, ConnState: c.connState, ConnContext: c.connContext}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(callerListener{ln, c, func() bool { return false }, time.Sleep}) }()
	defer server.Close()

	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	var answered, crossed atomic.Int64
	var callers sync.WaitGroup
	for i := range keptCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			var client net.Conn
			for ctx.Err() == nil {
				if client == nil {
					var err error
					if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
						t.Error(err)
						return
					}
				}
				if exchangeOnce(client) {
					answered.Add(1)
				} else {
					crossed.Add(1)
					_ = client.Close()
					client = nil
				}
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			if client != nil {
				_ = client.Close()
			}
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		timeout := 8 * time.Second
		if n%4 != 0 {
			timeout = 20 * time.Millisecond
		}
		c.closeIdle(timeout)
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	t.Logf("%d answered, %d crossed a close", answered.Load(), crossed.Load())
	require.Equal(t, handled.Load(), answered.Load(), "a request was read and got no answer")
	require.Greater(t, answered.Load(), int64(keptCallers))
}

// exchangeOnce sends a request and reports whether a whole response came.
func exchangeOnce(client net.Conn) bool {
	if _, err := client.Write([]byte(testRequest)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "answer"
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
