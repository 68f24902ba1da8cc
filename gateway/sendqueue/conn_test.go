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
	l := newTestConnFunc(t, capacity, func(response UnreadResponse) { unread <- response })
	l.unread = unread
	return l
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
	l := &testConn{reader: dialled.(*net.TCPConn)}
	require.NoError(t, l.reader.SetReadBuffer(bufferBytes))
	require.NoError(t, accepted.(*net.TCPConn).SetWriteBuffer(bufferBytes))
	l.queues = NewQueues(memory.NewBudget(capacity), onUnread)
	l.conn = l.queues.Wrap(accepted, func() { l.closed.Add(1) })
	t.Cleanup(func() {
		_ = l.reader.Close()
		_ = l.conn.Close()
		require.Eventually(t, func() bool { return l.closed.Load() == 1 }, 10*time.Second, time.Millisecond)
	})
	return l
}

// TestWriteDoesNotBlockOnReader writes a response that its caller does not read yet. The writes and
// the close return at once, and the caller still receives the whole response.
func TestWriteDoesNotBlockOnReader(t *testing.T) {
	l := newTestConn(t, 1<<20)
	answer := bytes.Repeat([]byte("0123456789abcdef"), 24<<10)
	for i := range 48 {
		n, err := l.conn.Write(answer[i*8<<10 : (i+1)*8<<10])
		require.NoError(t, err)
		require.Equal(t, 8<<10, n)
	}
	require.True(t, l.conn.HasPending())
	require.Positive(t, l.queues.Held())
	require.NoError(t, l.conn.Close())
	require.Zero(t, l.closed.Load(), "the queue has not been sent yet")
	got, err := io.ReadAll(l.reader)
	require.NoError(t, err)
	require.True(t, bytes.Equal(answer, got), "the response is complete and in order")
	require.Eventually(t, func() bool { return l.closed.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.Zero(t, l.queues.Held())
	require.Zero(t, l.queues.Waiting())
}

// TestUnreadResponseIsBounded writes more than the budget allows to a caller that does not read. The
// connection is reset, so that the response does not look complete.
func TestUnreadResponseIsBounded(t *testing.T) {
	l := newTestConn(t, 64<<10)
	var err error
	for err == nil {
		_, err = l.conn.Write(make([]byte, 16<<10))
	}
	require.ErrorIs(t, err, ErrNoMemory)
	require.ErrorIs(t, (<-l.unread).Err, ErrNoMemory)
	require.Zero(t, l.queues.Held())
	_, err = io.ReadAll(l.reader)
	require.Error(t, err)
	_, err = l.conn.Write([]byte("x"))
	require.ErrorIs(t, err, ErrNoMemory)
}

// TestTimeOfAnUnreadAnswerEnds checks that a response that is not read by the write deadline is
// dropped and reported.
func TestTimeOfAnUnreadAnswerEnds(t *testing.T) {
	l := newTestConn(t, 8<<20)
	require.NoError(t, l.conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := l.conn.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	unread := <-l.unread
	require.Error(t, unread.Err)
	require.Positive(t, unread.BytesLeft)
	require.Zero(t, l.queues.Held())
}

// TestUnreadIsReportedAfterMemoryIsFreed lets the write deadline of an unread response pass. An unread
// response was once reported before its connection was closed, so that in 5 of 300 runs the receiver
// of the report still found its memory held: 483328 bytes of a budget of 8 MiB. The callback checks the
// held memory here.
func TestUnreadIsReportedAfterMemoryIsFreed(t *testing.T) {
	heldBytes := make(chan int64, 1)
	var l *testConn
	l = newTestConnFunc(t, 8<<20, func(UnreadResponse) { heldBytes <- l.queues.Held() })
	require.NoError(t, l.conn.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := l.conn.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	require.Zero(t, <-heldBytes)
	require.EqualValues(t, 1, l.closed.Load())
}

// TestWriterWaitsForActiveReader writes a long response to a caller that reads steadily. The writer
// waits for the caller, and the queue stays below softLimit.
func TestWriterWaitsForActiveReader(t *testing.T) {
	l := newTestConn(t, 4*softLimit)
	const size = 8 * softLimit
	got := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, l.reader)
		got <- n
	}()
	maxHeld := int64(0)
	for range size / chunkSize {
		_, err := l.conn.Write(make([]byte, chunkSize))
		require.NoError(t, err)
		maxHeld = max(maxHeld, l.queues.Held())
	}
	require.LessOrEqual(t, maxHeld, int64(softLimit))
	require.NoError(t, l.conn.Close())
	require.EqualValues(t, size, <-got)
}

// TestTeamsShareMemory fills the memory with the unread responses of one team. Another team still
// gets memory, and the first team's response is dropped.
func TestTeamsShareMemory(t *testing.T) {
	l := newTestConn(t, 600<<10)
	l.conn.SetTeam("red")
	_, err := l.conn.Write(make([]byte, 500<<10))
	require.NoError(t, err)
	other := &memory.Account{Team: "blue", Pinned: true}
	require.True(t, l.queues.Grow(other, 300<<10, func() { t.Error("a pinned account was dropped") }))
	unread := <-l.unread
	require.Equal(t, "red", unread.Team)
	require.ErrorIs(t, unread.Err, ErrNoMemory)
	require.EqualValues(t, 300<<10, l.queues.Held())
	require.EqualValues(t, 1, l.queues.Dropped())
	l.queues.Close(other)
	require.Zero(t, l.queues.Held())
}
