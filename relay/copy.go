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
	// maxDiscardBytes is the size of the longest response with which an agent refuses a
	// request. DiscardBody reads no more than that.
	maxDiscardBytes = 4 << 10
	// writeTimeout is how long writing one chunk to the receiver may take.
	writeTimeout = 30 * time.Second
)

// Errors of Copy. The side that failed determines what can be reported about the request.
var (
	// ErrRead means that the response ended early.
	ErrRead = errors.New("the response ended early")
	// ErrWrite means that the receiver no longer accepts the response.
	ErrWrite = errors.New("the receiver of the response has disconnected or is too slow")
)

var buffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Copy forwards a response chunk by chunk and flushes each chunk at once.
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
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // test writers don't support deadlines
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return rc.Flush()
}

// DiscardBody reads the rest of the short response with which an agent refuses a request, since
// only then the connection can be reused. If reading fails, another connection is opened.
func DiscardBody(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
}
