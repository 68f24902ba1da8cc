package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/pressure"
)

// eventMost bounds one event of a stream.
const eventMost = 1 << 20

// isStream tells whether an answer is a series of events.
func (a *attempt) isStream(answer *http.Response) bool {
	return answer.StatusCode == http.StatusOK && a.x.route.Kind == direct.Stream &&
		strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// stream passes whole events on as they come. Where the server breaks off, the
// stream may go on at another server after the last event that was forwarded.
func (a *attempt) stream(answer *http.Response, v Verdict) (direct.Outcome, bool) {
	if !sound(answer, v) {
		a.conn.Close()
		return a.lost(direct.Broken)
	}
	events := eventReader{reader: bufio.NewReaderSize(answer.Body, eventBuffer)}
	for {
		a.bound()
		event, err := events.next()
		if err == io.EOF && answer.ContentLength < 0 && answer.Close && len(answer.TransferEncoding) == 0 {
			// Without a frame nobody can tell this end from a break.
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return a.streamEnded()
		}
		if err != nil {
			a.conn.Close()
			return a.broken(a.silence(err, a.mayGoOn()))
		}
		if !a.follows(event) {
			a.conn.Close()
			return a.broken(direct.Broken)
		}
		last := !events.another()
		if a.pass(answer, event, last) != nil {
			a.conn.Close()
			a.x.callerLeft(http.StatusOK)
			return direct.GivenUp, true
		}
		if last && a.x.front.core.without.Enabled(direct.EventBatching) {
			time.Sleep(pressure.BatchDelay(a.x.front.core.Now(), a.x.front.core.pressure.Lag(), a.x.front.eventDelay))
		}
	}
}

// eventBuffer is the buffer over a stream's body.
const eventBuffer = 1 << 10

// bound sets how long the server may say nothing.
func (a *attempt) bound() {
	left := a.x.deadline - a.x.front.core.Now()
	if a.mayGoOn() && a.x.headSent {
		left = min(left, max(streamSilence, pauseSilence*a.x.route.Pause))
	} else if patience, bounded := a.patience(left); bounded && !a.x.headSent {
		left = patience
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(left)) // a closed connection shows when it is read
}

// mayGoOn tells whether the route allows another attempt after this one.
func (a *attempt) mayGoOn() bool {
	return a.x.route.MayRepeat() && a.cmd.Attempt < a.x.route.Attempts
}

// follows checks that an event is the next of the stream.
func (a *attempt) follows(event event) bool {
	if !event.hasID {
		return true
	}
	if a.x.lastID != 0 && event.id != a.x.lastID+1 {
		return false
	}
	a.x.lastID = event.id
	return true
}

// pass writes one event, with the head before the first. Events that came
// together leave together: only the last is flushed.
func (a *attempt) pass(answer *http.Response, event event, flush bool) error {
	if !a.x.headSent {
		copyHeader(a.x.w.Header(), answer.Header)
		a.x.front.closing(a.x.w)
		a.x.w.WriteHeader(answer.StatusCode)
		a.x.headSent = true
	}
	if !a.begun {
		a.begun = true
		a.first()
	}
	a.count(len(event.raw))
	if _, err := a.x.w.Write(event.raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	now := a.x.front.core.Now()
	if a.x.passedAt > 0 {
		a.x.front.stats.EventPause.RecordDuration(now - a.x.passedAt)
	}
	a.x.passedAt = now
	return a.x.front.flush(a.x.w)
}

// streamEnded ends a stream whose last event has come.
func (a *attempt) streamEnded() (direct.Outcome, bool) {
	a.release()
	if !a.x.headSent {
		return a.lost(direct.Broken)
	}
	a.x.finish(resultServed, http.StatusOK, "")
	return direct.Done, true
}

// broken ends an attempt whose stream broke off. Where it cannot go on
// elsewhere, the caller's connection is broken off too.
func (a *attempt) broken(o direct.Outcome) (direct.Outcome, bool) {
	o, ended := a.lost(o)
	if ended {
		return o, true
	}
	if a.x.headSent && !a.x.route.MayRepeat() {
		a.closeRun(o)
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

// eventReader reads whole events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

var (
	idField  = []byte("id:")
	eventEnd = []byte("\n\n")
)

// another tells whether one more whole event can be read without waiting.
func (e *eventReader) another() bool {
	buffered, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && bytes.Contains(buffered, eventEnd)
}

// next returns the next whole event, valid until the next call. io.EOF says
// that the stream ended between two events.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	var out event
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.buffer) > eventMost {
				return event{}, errSpoiled
			}
			continue
		}
		if err != nil {
			if err == io.EOF && len(e.buffer) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			out.raw = e.buffer
			return out, nil
		}
		if rest, ok := bytes.CutPrefix(text, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
			out.id, out.hasID = id, err == nil
		}
	}
}

func formatID(id int64) string { return strconv.FormatInt(id, 10) }
