package backend

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSentinelsEnd guards against connections and goroutines that are left of sentinels, for servers that live, close
// at once or do not exist, many of whose responses end together.
func TestSentinelsEnd(t *testing.T) {
	const servers, responses = 20, 20
	var open atomic.Int64
	var addresses []string
	for n := range servers {
		switch n % 3 {
		case 0:
			addresses = append(addresses, startSilentServer(t, func(_ int, conn *net.TCPConn) {
				open.Add(1)
				defer open.Add(-1)
				closeIdle(conn, time.Minute)
			}))
		case 1:
			addresses = append(addresses, startSilentServer(t, func(_ int, conn *net.TCPConn) { _ = conn.Close() }))
		default:
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			addresses = append(addresses, listener.Addr().String())
			require.NoError(t, listener.Close())
		}
	}
	before := runtime.NumGoroutine()
	p := newTestPool()
	var all sync.WaitGroup
	for _, address := range addresses {
		for range responses {
			all.Go(func() {
				a, b := net.Pipe()
				defer a.Close()
				defer b.Close()
				w := p.Watch(&Conn{Conn: a, pool: p, address: address})
				time.Sleep(100 * time.Millisecond)
				w.Yield(time.Now())
				w.HoldingAfter(time.Now())
				w.Release()
			})
		}
	}
	time.Sleep(50 * time.Millisecond)
	require.LessOrEqual(t, open.Load(), int64(servers), "one connection for each server")
	all.Wait()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.sentinels) == 0
	}, 3*sentinelLinger, 10*time.Millisecond, "sentinels")
	require.Eventually(t, func() bool { return open.Load() == 0 }, 3*time.Second, 10*time.Millisecond, "connections")
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 3*time.Second, 10*time.Millisecond, "goroutines")
}
