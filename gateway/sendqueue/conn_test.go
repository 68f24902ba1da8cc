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

// window is the size of the system's buffers in tests, in bytes: small, so that writers meet them,
// and not so small that the system waits between packets.
const window = 32 << 10

// line is one connection with small windows on both sides, as between far hosts.
type line struct {
	conn   *Conn
	reader *net.TCPConn
	closed atomic.Int32
	losses chan UnreadResponse
	queues *Queues
}

// newLine returns a line whose losses can be received from its channel.
func newLine(t *testing.T, most int64) *line {
	losses := make(chan UnreadResponse, 10)
	l := newLineWith(t, most, func(loss UnreadResponse) { losses <- loss })
	l.losses = losses
	return l
}

// newLineWith returns a line whose losses are told to a function.
func newLineWith(t *testing.T, most int64, lost func(UnreadResponse)) *line {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	l := &line{reader: dialled.(*net.TCPConn)}
	require.NoError(t, l.reader.SetReadBuffer(window))
	require.NoError(t, accepted.(*net.TCPConn).SetWriteBuffer(window))
	l.queues = NewQueues(memory.NewBudget(most), lost)
	l.conn = l.queues.Wrap(accepted, func() { l.closed.Add(1) })
	t.Cleanup(func() {
		_ = l.reader.Close()
		_ = l.conn.Close()
		require.Eventually(t, func() bool { return l.closed.Load() == 1 }, 10*time.Second, time.Millisecond)
	})
	return l
}

// TestWritesWaitForNoReader writes an answer that its caller does not read: the writer goes on at
// once, the connection is closed, and the caller still gets the whole answer.
func TestWritesWaitForNoReader(t *testing.T) {
	l := newLine(t, 1<<20)
	answer := bytes.Repeat([]byte("0123456789abcdef"), 24<<10)
	for piece := range 48 {
		n, err := l.conn.Write(answer[piece*8<<10 : (piece+1)*8<<10])
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

// TestUnreadAnswerIsBounded writes more than the budget allows to a caller that does not read: its
// connection is broken off, so that the answer does not look whole.
func TestUnreadAnswerIsBounded(t *testing.T) {
	l := newLine(t, 64<<10)
	var err error
	for err == nil {
		_, err = l.conn.Write(make([]byte, 16<<10))
	}
	require.ErrorIs(t, err, ErrNoMemory)
	require.ErrorIs(t, (<-l.losses).Err, ErrNoMemory)
	require.Zero(t, l.queues.Held())
	_, err = io.ReadAll(l.reader)
	require.Error(t, err)
	_, err = l.conn.Write([]byte("x"))
	require.ErrorIs(t, err, ErrNoMemory)
}

// TestTimeOfAnUnreadAnswerEnds has a caller not read within its request's time.
func TestTimeOfAnUnreadAnswerEnds(t *testing.T) {
	l := newLine(t, 8<<20)
	require.NoError(t, l.conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := l.conn.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	loss := <-l.losses
	require.Error(t, loss.Err)
	require.Positive(t, loss.BytesLeft)
	require.Zero(t, l.queues.Held())
}

// TestLossIsToldWithItsMemoryFree has an answer's time end while its caller does not read. Whoever
// was told of the loss could still find the memory of the answer in use: the loss was told first and
// the connection closed after it, "Should be zero, but was 483328" of a budget of eight megabytes,
// in 5 of 300 runs. So the one who is told looks at the memory here.
func TestLossIsToldWithItsMemoryFree(t *testing.T) {
	held := make(chan int64, 1)
	var l *line
	l = newLineWith(t, 8<<20, func(UnreadResponse) { held <- l.queues.Held() })
	require.NoError(t, l.conn.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := l.conn.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	require.Zero(t, <-held)
	require.EqualValues(t, 1, l.closed.Load())
}

// TestWriterWaitsForReaderThatReads writes a long answer to a caller that reads: no more of it waits
// than the caller is behind by.
func TestWriterWaitsForReaderThatReads(t *testing.T) {
	l := newLine(t, 4*softLimit)
	const size = 8 * softLimit
	got := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, l.reader)
		got <- n
	}()
	most := int64(0)
	for range size / pieceSize {
		_, err := l.conn.Write(make([]byte, pieceSize))
		require.NoError(t, err)
		most = max(most, l.queues.Held())
	}
	require.LessOrEqual(t, most, int64(softLimit))
	require.NoError(t, l.conn.Close())
	require.EqualValues(t, size, <-got)
}

// TestTeamsShareTheMemory has the unread answers of one team fill the memory: another team's find
// room, and the first team's give way.
func TestTeamsShareTheMemory(t *testing.T) {
	l := newLine(t, 600<<10)
	l.conn.SetTeam("red")
	_, err := l.conn.Write(make([]byte, 500<<10))
	require.NoError(t, err)
	other := &memory.Account{Team: "blue", Pinned: true}
	require.True(t, l.queues.Grow(other, 300<<10, func() { t.Error("it is kept") }))
	loss := <-l.losses
	require.Equal(t, "red", loss.Team)
	require.ErrorIs(t, loss.Err, ErrNoMemory)
	require.EqualValues(t, 300<<10, l.queues.Held())
	require.EqualValues(t, 1, l.queues.Dropped())
	l.queues.Close(other)
	require.Zero(t, l.queues.Held())
}
