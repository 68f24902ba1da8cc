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

// doneMark ends every whole event stream of a model engine.
const streamEnd = "data: [DONE]"

// checked returns the body of an answer. The event stream of a model engine
// must end with its mark: one that just ends has been cut.
func (s *server) checkStreamEnd(res *http.Response, t *target, r *http.Request) io.Reader {
	work := t.works[fleet.Work(r.Header.Get(relay.HeaderWork))]
	events := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	if work.Kind != bundle.KindModel || !events || res.StatusCode != http.StatusOK {
		return res.Body
	}
	return &terminatedStream{r: res.Body}
}

// markedStream turns the end of a stream without its mark into an error.
type terminatedStream struct {
	r    io.Reader
	tail []byte
}

// Read implements io.Reader.
func (m *terminatedStream) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	m.recordTail(p[:n])
	if err == io.EOF && !bytes.HasSuffix(bytes.TrimRight(m.tail, "\r\n"), []byte(streamEnd)) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// remember keeps the last bytes, as many as the mark and its line ends take.
func (m *terminatedStream) recordTail(p []byte) {
	const maxTail = len(streamEnd) + 8
	m.tail = append(m.tail, p...)
	if len(m.tail) > maxTail {
		m.tail = append(m.tail[:0], m.tail[len(m.tail)-maxTail:]...)
	}
}
