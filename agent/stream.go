package agent

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/relay"
)

// streamEnd is the line that ends every complete event stream of a model engine.
const streamEnd = "data: [DONE]"

// checkStreamEnd returns a reader of the response's body. If the body is the event
// stream of a model engine, the reader fails if the stream ends without streamEnd,
// because such a stream is truncated.
func (p *proxy) checkStreamEnd(res *http.Response, t *target, r *http.Request) io.Reader {
	work := t.works[fleet.Work(r.Header.Get(relay.HeaderWork))]
	events := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	if work.Kind != bundle.KindModel || !events || res.StatusCode != http.StatusOK {
		return res.Body
	}
	return &terminatedStream{r: res.Body}
}

// terminatedStream reads a stream and returns io.ErrUnexpectedEOF if the stream ends
// without streamEnd.
type terminatedStream struct {
	r    io.Reader
	tail []byte
}

// Read implements io.Reader.
func (s *terminatedStream) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	s.recordTail(p[:n])
	if err == io.EOF && !bytes.HasSuffix(bytes.TrimRight(s.tail, "\r\n"), []byte(streamEnd)) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// recordTail keeps the last bytes of the stream, enough for streamEnd and its line
// ends.
func (s *terminatedStream) recordTail(p []byte) {
	const maxTail = len(streamEnd) + 8
	s.tail = append(s.tail, p...)
	if len(s.tail) > maxTail {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-maxTail:]...)
	}
}
