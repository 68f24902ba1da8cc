package sendqueue

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftvale/croftvale/gateway/memory"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bufferBytes is the size of the kernel's socket buffers in tests: small enough that writers fill
// them, and large enough that the kernel does not delay packets.
const bufferBytes = 32 << 10

// testConn is a connection with small socket buffers on both sides.
type testConn struct {
	conn   *Conn
	reader *net.TCPConn
	closed atomic.Int32
	unread chan UnreadResponse
	queues *Queues
}

// newTestConn returns a connection that sends its unread responses to its channel unread.
func newTestConn(t *testing.T, capacity int64) *testConn {
	unread := make(chan UnreadResponse, 10)
	c := newTestConnFunc(t, capacity, func(response UnreadResponse) { unread <- response })
	c.unread = unread
	return c
}

// newTestConnFunc returns a connection that passes its unread responses to a function.
func newTestConnFunc(t *testing.T, capacity int64, onUnread func(UnreadResponse)) *testConn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	c := &testConn{reader: dialled.(*net.TCPConn)}
	require.NoError(t, c.reader.SetReadBuffer(bufferBytes))
	require.NoError(t, accepted.(*net.TCPConn).SetWriteBuffer(bufferBytes))
	c.queues = NewQueues(memory.NewBudget(capacity), onUnread)
	c.conn = c.queues.Wrap(accepted, func() { c.closed.Add(1) })
	t.Cleanup(func() {
		_ = c.reader.Close()
		_ = c.conn.Close()
		require.Eventually(t, func() bool { return c.closed.Load() == 1 }, 10*time.Second, time.Millisecond)
	})
	return c
}

// TestWriteDoesNotBlockOnReader writes a response that its caller does not read yet. The writes and
// the close return at once, and the caller still receives the whole response.
func TestWriteDoesNotBlockOnReader(t *testing.T) {
	c := newTestConn(t, 1<<20)
	response := bytes.Repeat([]byte("0123456789abcdef"), 24<<10)
	for i := range 48 {
		n, err := c.conn.Write(response[i*8<<10 : (i+1)*8<<10])
		require.NoError(t, err)
		require.Equal(t, 8<<10, n)
	}
	require.True(t, c.conn.HasPending())
	require.Positive(t, c.queues.Held())
	require.NoError(t, c.conn.Close())
	require.Zero(t, c.closed.Load(), "the queue has not been sent yet")
	got, err := io.ReadAll(c.reader)
	require.NoError(t, err)
	require.True(t, bytes.Equal(response, got), "the response is complete and in order")
	require.Eventually(t, func() bool { return c.closed.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.Zero(t, c.queues.Held())
	require.Zero(t, c.queues.Waiting())
}

// TestUnreadResponseIsBounded writes more than the budget allows to a caller that does not read. The
// connection is reset, so that the response does not look complete.
func TestUnreadResponseIsBounded(t *testing.T) {
	c := newTestConn(t, 64<<10)
	var err error
	for err == nil {
		_, err = c.conn.Write(make([]byte, 16<<10))
	}
	require.ErrorIs(t, err, ErrNoMemory)
	require.ErrorIs(t, (<-c.unread).Err, ErrNoMemory)
	require.Zero(t, c.queues.Held())
	_, err = io.ReadAll(c.reader)
	require.Error(t, err)
	_, err = c.conn.Write([]byte("x"))
	require.ErrorIs(t, err, ErrNoMemory)
}

// TestTimeOfAnUnreadAnswerEnds checks that a response that is not read by the write deadline is
// dropped and reported.
func TestTimeOfAnUnreadAnswerEnds(t *testing.T) {
	c := newTestConn(t, 8<<20)
	require.NoError(t, c.conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := c.conn.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	unread := <-c.unread
	require.Error(t, unread.Err)
	require.Positive(t, unread.BytesLeft)
	require.Zero(t, c.queues.Held())
}

// TestUnreadIsReportedAfterMemoryIsFreed lets the write deadline of an unread response pass, and checks
// the held memory in the callback. If the response is reported before its connection is closed, the
// callback may find its memory still held (in 5 of 300 runs: 483328 bytes of a budget of 8 MiB).
func TestUnreadIsReportedAfterMemoryIsFreed(t *testing.T) {
	heldBytes := make(chan int64, 1)
	var c *testConn
	c = newTestConnFunc(t, 8<<20, func(UnreadResponse) { heldBytes <- c.queues.Held() })
	require.NoError(t, c.conn.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.conn.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	require.Zero(t, <-heldBytes)
	require.EqualValues(t, 1, c.closed.Load())
}

// TestWriterWaitsForActiveReader writes a long response to a caller that reads steadily. The writer
// waits for the caller, and the queue stays below softLimit.
func TestWriterWaitsForActiveReader(t *testing.T) {
	c := newTestConn(t, 4*softLimit)
	const size = 8 * softLimit
	got := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, c.reader)
		got <- n
	}()
	maxHeld := int64(0)
	for range size / chunkSize {
		_, err := c.conn.Write(make([]byte, chunkSize))
		require.NoError(t, err)
		maxHeld = max(maxHeld, c.queues.Held())
	}
	require.LessOrEqual(t, maxHeld, int64(softLimit))
	require.NoError(t, c.conn.Close())
	require.EqualValues(t, size, <-got)
}

// TestTeamsShareMemory fills the memory with the unread responses of one team. Another team still
// gets memory, and the first team's response is dropped.
func TestTeamsShareMemory(t *testing.T) {
	c := newTestConn(t, 600<<10)
	c.conn.SetTeam("red")
	_, err := c.conn.Write(make([]byte, 500<<10))
	require.NoError(t, err)
	other := &memory.Account{Team: "blue", Pinned: true}
	require.True(t, c.queues.Grow(other, 300<<10, func() { t.Error("a pinned account was dropped") }))
	unread := <-c.unread
	require.Equal(t, "red", unread.Team)
	require.ErrorIs(t, unread.Err, ErrNoMemory)
	require.EqualValues(t, 300<<10, c.queues.Held())
	require.EqualValues(t, 1, c.queues.Dropped())
	c.queues.Close(other)
	require.Zero(t, c.queues.Held())
}
