package relay

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	copyBufferSize = 32 << 10
	// finishBytes is the size of the longest answer by which an agent turns a
	// request away.
	maxDiscardBytes = 4 << 10
	// writeTimeout is how long a reader may take to accept one piece.
	writeTimeout = 30 * time.Second
)

// Errors of Copy: which side failed decides what can be said of the request.
var (
	// ErrRead means that the answer broke off before its end.
	ErrRead = errors.New("the answer broke off before its end")
	// ErrWrite means that the other side no longer takes the answer.
	ErrWrite = errors.New("the reader of the answer has gone or is too slow")
)

var buffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Copy passes an answer on piece by piece, each at once.
func Copy(w http.ResponseWriter, src io.Reader) error {
	buf := buffers.Get().(*[copyBufferSize]byte)
	defer buffers.Put(buf)
	rc := http.NewResponseController(w)
	for {
		n, err := src.Read(buf[:])
		if n > 0 {
			if werr := writeChunk(w, rc, buf[:n]); werr != nil {
				return errors.Mark(werr, ErrWrite)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Mark(err, ErrRead)
		}
	}
}

func writeChunk(w io.Writer, rc *http.ResponseController, chunk []byte) error {
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // test writers have none
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return rc.Flush()
}

// DiscardBody reads the short answer by which an agent turns a request away to its
// end: only then the connection can be used again. Where that fails, another one is opened.
func DiscardBody(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
}
