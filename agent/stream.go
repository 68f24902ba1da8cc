package agent

import (
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
	line []byte // the start of the current line, enough to tell it from streamEnd
	last []byte // the start of the last line before it that is not blank
}

// Read implements io.Reader.
func (s *terminatedStream) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	for _, c := range p[:n] {
		s.record(c)
	}
	if err == io.EOF {
		s.endLine()
		if string(s.last) != streamEnd {
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}

func (s *terminatedStream) record(c byte) {
	switch {
	case c == '\r', c == '\n':
		s.endLine()
	case len(s.line) <= len(streamEnd):
		s.line = append(s.line, c)
	}
}

func (s *terminatedStream) endLine() {
	if len(s.line) > 0 {
		s.last, s.line = append(s.last[:0], s.line...), s.line[:0]
	}
}
