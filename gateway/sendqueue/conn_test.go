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

// bufferBytes is the size of the system's buffers in tests, in bytes: small, so that writers meet them,
// and not so small that the system waits between packets.
const bufferBytes = 32 << 10

// testConn is one connection with small windows on both sides, as between far hosts.
type testConn struct {
	conn   *Conn
	reader *net.TCPConn
	closed atomic.Int32
	unread chan UnreadResponse
	queues *Queues
}

// newTestConn returns a line whose losses can be received from its channel.
func newTestConn(t *testing.T, capacity int64) *testConn {
	unread := make(chan UnreadResponse, 10)
	l := newTestConnFunc(t, capacity, func(response UnreadResponse) { unread <- response })
	l.unread = unread
	return l
}

// newTestConnFunc returns a line whose losses are told to a function.
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

// TestWriteDoesNotBlockOnReader writes an answer that its caller does not read: the writer goes on at
// once, the connection is closed, and the caller still gets the whole answer.
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
	require.Zero(t, l.closed.Load(), "it has not been sent")
	got, err := io.ReadAll(l.reader)
	require.NoError(t, err)
	require.True(t, bytes.Equal(answer, got), "the answer is whole and in order")
	require.Eventually(t, func() bool { return l.closed.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.Zero(t, l.queues.Held())
	require.Zero(t, l.queues.Waiting())
}

// TestUnreadResponseIsBounded writes more than the budget allows to a caller that does not read: its
// connection is broken off, so that the answer does not look whole.
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

// TestTimeOfAnUnreadAnswerEnds has a caller not read within its request's time.
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

// TestUnreadIsReportedAfterMemoryIsFreed has an answer's time end while its caller does not read. Whoever
// was told of the loss could still find the memory of the answer in use: the loss was told first and
// the connection closed after it, "Should be zero, but was 483328" of a budget of eight megabytes,
// in 5 of 300 runs. So the one who is told looks at the memory here.
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

// TestWriterWaitsForActiveReader writes a long answer to a caller that reads: no more of it waits
// than the caller is behind by.
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

// TestTeamsShareMemory has the unread answers of one team fill the memory: another team's find
// room, and the first team's give way.
func TestTeamsShareMemory(t *testing.T) {
	l := newTestConn(t, 600<<10)
	l.conn.SetTeam("red")
	_, err := l.conn.Write(make([]byte, 500<<10))
	require.NoError(t, err)
	other := &memory.Account{Team: "blue", Pinned: true}
	require.True(t, l.queues.Grow(other, 300<<10, func() { t.Error("it is kept") }))
	unread := <-l.unread
	require.Equal(t, "red", unread.Team)
	require.ErrorIs(t, unread.Err, ErrNoMemory)
	require.EqualValues(t, 300<<10, l.queues.Held())
	require.EqualValues(t, 1, l.queues.Dropped())
	l.queues.Close(other)
	require.Zero(t, l.queues.Held())
}
