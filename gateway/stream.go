package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/pressure"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// isStream reports whether a response is a stream of events.
func (a *attempt) isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && a.x.route.Kind == direct.Stream &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// stream forwards whole events as they arrive, beginning with the first result of reading the stream.
// If the server fails, the stream may continue on another server after the last event that was
// forwarded.
func (a *attempt) stream(event event, err error) (direct.Outcome, bool) {
	for {
		switch {
		case a.successor != nil:
			return direct.Hung, false
		case err == io.EOF:
			return a.endStream()
		case err != nil || !a.isNext(event):
			a.conn.Close()
			return a.endBrokenStream(direct.Broken)
		}
		last := !a.events.hasNext()
		if a.forward(a.response, event, last) != nil {
			a.conn.Close()
			a.x.callerLeft(http.StatusOK)
			return direct.GivenUp, true
		}
		if last && a.x.front.core.disabled.Enabled(direct.EventBatching) {
			time.Sleep(pressure.BatchDelay(a.x.front.core.Now(), a.x.front.core.pressure.Lag(), a.x.front.maxEventDelay))
		}
		event, err = a.nextEvent()
	}
}

// nextEvent reads the next event of the stream. It returns io.EOF at the end of the stream. If
// successor is set afterwards, another attempt has taken over and the result is not valid.
func (a *attempt) nextEvent() (event, error) {
	a.watch.arm(a.eventTimeout())
	event, err := a.events.next()
	if err == nil {
		a.conn.CountProgress()
	}
	if a.takenOver(err) {
		return event, err
	}
	switch {
	case err == io.EOF && isUnframed(a.response):
		err = a.checkUnframedEnd(a.forwarding)
	case err == nil && a.timeLeft() < minTimeLeft:
		err = os.ErrDeadlineExceeded // the host was suspended, which the connection's deadline does not count
	}
	return event, err
}

// eventTimeout returns how long the server may stay silent before the next event until a backup is
// asked for. It returns 0 if there is no limit.
func (a *attempt) eventTimeout() time.Duration {
	if !a.forwarding && a.afterEvent == "" {
		return a.firstEventTimeout()
	}
	return a.limitSilence(max(minStreamStall, streamStallPauseFactor*a.x.route.Pause))
}

// eventBufferBytes is the size of the read buffer for a stream.
const eventBufferBytes = 1 << 10

// isNext reports whether an event is the next one of the stream, and records its id.
func (a *attempt) isNext(event event) bool {
	if !event.hasID {
		return true
	}
	if a.x.lastEventID != 0 && event.id != a.x.lastEventID+1 {
		return false
	}
	a.x.lastEventID = event.id
	return true
}

// forward writes one event, after the response header if it is the first event. Events that
// arrive together are sent together: only the last is flushed.
func (a *attempt) forward(resp *http.Response, event event, flush bool) error {
	if !a.x.headSent {
		copyHeader(a.x.w.Header(), resp.Header)
		a.x.front.setConnectionClose(a.x.w)
		a.x.w.WriteHeader(resp.StatusCode)
		a.x.headSent = true
	}
	if !a.forwarding {
		a.forwarding = true
		a.reportResponse(true)
		a.x.recordOrigin(a.cmd.Server.Version)
	}
	a.countBytes(len(event.raw))
	if _, err := a.x.w.Write(event.raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	now := a.x.front.core.Now()
	if a.x.forwardedAt > 0 {
		a.x.front.stats.EventPause.RecordDuration(now - a.x.forwardedAt)
	}
	a.x.forwardedAt = now
	return a.x.front.flush(a.x.w)
}

// endStream ends a stream whose last event has arrived.
func (a *attempt) endStream() (direct.Outcome, bool) {
	a.release()
	if !a.x.headSent {
		return a.endWithoutResponse(direct.Broken)
	}
	a.x.forgetOrigin()
	a.x.finish(resultServed, http.StatusOK, "")
	return direct.Done, true
}

// endBrokenStream ends an attempt whose stream ended early. If the stream cannot continue
// on another server, the caller's connection is closed too.
func (a *attempt) endBrokenStream(o direct.Outcome) (direct.Outcome, bool) {
	o, ended := a.endWithoutResponse(o)
	if ended {
		return o, true
	}
	if a.x.headSent && !a.x.route.MayRepeat() {
		a.reportEnd(o)
		a.x.abort("stream_broken")
	}
	return o, false
}

// event is one event of a stream, as the server wrote it.
type event struct {
	raw   []byte
	id    int64
	hasID bool
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

// end returns the result at the end of a stream: what follows the last event, if anything does, and
// io.EOF afterwards.
func (e *eventReader) end(betweenEvents bool) (event, error) {
	switch {
	case !betweenEvents:
		return event{}, io.ErrUnexpectedEOF
	case e.begun && len(e.buffer) > 0:
		return event{raw: e.buffer}, nil
	}
	return event{}, io.EOF
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

func formatID(id int64) string { return strconv.FormatInt(id, 10) }
