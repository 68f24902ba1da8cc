package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventBufferBytes is the size of the read buffer for a stream.
const eventBufferBytes = 1 << 10

// event is one event of a stream, as the server wrote it.
type event struct {
	raw   []byte
	id    int64
	hasID bool
	// isTrailer is set for what follows the last event, such as comments.
	isTrailer bool
}

// eventReader reads whole events. Only an ID or data make an event: comments, unknown fields and blank
// lines are forwarded with the event that follows. Otherwise a server could seem to make progress by
// sending them without an end.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	begun  bool // an event has been read
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// isContent reports whether a line makes an event of the lines around it.
func isContent(line []byte) bool {
	return bytes.HasPrefix(line, idField) || bytes.HasPrefix(line, dataField)
}

// hasNext reports whether another whole event can be read without waiting.
func (e *eventReader) hasNext() bool {
	buffered, err := e.reader.Peek(e.reader.Buffered())
	if err != nil {
		return false
	}
	hasContent := false
	for line := range bytes.Lines(buffered) {
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && hasContent {
			return true
		}
		hasContent = hasContent || isContent(text)
	}
	return false
}

// next returns the next whole event, valid until the next call. It returns io.EOF if the
// stream ends between two events.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	var out event
	hasContent := false
	betweenEvents := true // the last line was blank, or there was none
	for {
		line, err := e.readLine()
		if err == io.EOF {
			return e.end(betweenEvents && len(line) == 0)
		}
		if err != nil {
			return event{}, err
		}
		betweenEvents = len(line) == 0
		if betweenEvents && hasContent {
			out.raw, e.begun = e.buffer, true
			return out, nil
		}
		hasContent = hasContent || isContent(line)
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
			out.id, out.hasID = id, err == nil
		}
	}
}

// readLine appends a line to the buffer and returns it without its end. A line may be longer than the
// reader's buffer.
func (e *eventReader) readLine() ([]byte, error) {
	start := len(e.buffer)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, part...)
		switch {
		case len(e.buffer) > maxEventBytes:
			return nil, errTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		}
		return bytes.TrimRight(e.buffer[start:], "\r\n"), err
	}
}
