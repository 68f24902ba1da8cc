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
// event without an end: one long line, or lines without a blank one.
func TestEventFloodIsBounded(t *testing.T) {
	for _, pattern := range []string{"x", "data: x\n"} {
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
