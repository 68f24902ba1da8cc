package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless repeats a pattern without an end, and counts what was read.
type endless struct {
	pattern string
	read    int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(e.pattern, len(p)/len(e.pattern)+1))
	e.read += n
	if e.read > 16*maxEventBytes {
		return 0, io.ErrClosedPipe
	}
	return n, nil
}

// TestEventFloodIsBounded guards against routers that run out of memory, since a faulty server sends an
// event without an end: one long line, lines without a blank one, or blank ones without an event.
func TestEventFloodIsBounded(t *testing.T) {
	for _, pattern := range []string{"x", "data: x\n", "\n", ":\n\n", "x\n\n"} {
		flood := &endless{pattern: pattern}
		events := eventReader{reader: bufio.NewReaderSize(flood, eventBufferBytes)}
		_, err := events.next()
		require.ErrorIs(t, err, errTooLarge)
		require.LessOrEqual(t, len(events.buffer), maxEventBytes+eventBufferBytes)
	}
}

// TestLongLineIsOneLine guards against events that are split, or get a wrong ID, where a line is longer
// than the read buffer.
func TestLongLineIsOneLine(t *testing.T) {
	const field = "data: "
	for _, text := range []string{
		"id: 1\n" + field + strings.Repeat("x", eventBufferBytes-len(field)) + "\nevent: a\n\n",
		"id: 1\n" + field + strings.Repeat("x", eventBufferBytes-len(field)) + "id: 7\n\n",
	} {
		events := eventReader{reader: bufio.NewReaderSize(strings.NewReader(text), eventBufferBytes)}
		event, err := events.next()
		require.NoError(t, err)
		require.Equal(t, text, string(event.raw))
		require.EqualValues(t, 1, event.id)
		_, err = events.next()
		require.Equal(t, io.EOF, err)
	}
}

// TestCommentsMakeNoEvent verifies that comments, unknown fields and blank lines are forwarded with the
// event that follows, or at the end of the stream, and that a stream may not end within them.
func TestCommentsMakeNoEvent(t *testing.T) {
	const first, last = ":\n\n\nx\n\nid: 1\r\ndata: a\r\n\r\n", ": end\n\n"
	events := eventReader{reader: bufio.NewReaderSize(strings.NewReader(first+last), eventBufferBytes)}
	event, err := events.next()
	require.NoError(t, err)
	require.Equal(t, first, string(event.raw))
	require.EqualValues(t, 1, event.id)
	require.False(t, events.hasNext(), "comments would keep the event from being flushed")
	event, err = events.next()
	require.NoError(t, err)
	require.Equal(t, last, string(event.raw))
	require.False(t, event.hasID)
	_, err = events.next()
	require.Equal(t, io.EOF, err)

	events = eventReader{reader: bufio.NewReaderSize(strings.NewReader(last), eventBufferBytes)}
	_, err = events.next()
	require.Equal(t, io.EOF, err, "comments alone are no response")

	for _, cut := range []string{":", ":\n", ":\n\n:\n", "data: a\n"} {
		events := eventReader{reader: bufio.NewReaderSize(strings.NewReader(cut), eventBufferBytes)}
		_, err := events.next()
		require.Equal(t, io.ErrUnexpectedEOF, err, "%q", cut)
	}
}
