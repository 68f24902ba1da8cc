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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// isStream reports whether a response is a stream of events.
func (a *attempt) isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && a.x.route.Kind == direct.Stream &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// stream forwards whole events as they arrive. If the server fails, the stream may continue
// on another server after the last event that was forwarded.
func (a *attempt) stream(resp *http.Response, info ResponseInfo) (direct.Outcome, bool) {
	if !isForwardable(resp, info) {
		a.conn.Close()
		return a.endWithoutResponse(direct.Broken)
	}
	events := eventReader{reader: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
	for {
		a.setStallDeadline()
		event, err := events.next()
		if err == io.EOF && isUnframed(resp) {
			err = a.checkUnframedEnd(a.forwarding)
		}
		if err == io.EOF {
			return a.endStream()
		}
		if err != nil {
			outcome := a.readOutcome(err, a.mayRetry())
			a.conn.Close()
			return a.endBrokenStream(outcome)
		}
		if !a.isNext(event) {
			a.conn.Close()
			return a.endBrokenStream(direct.Broken)
		}
		last := !events.hasNext()
		if a.forward(resp, event, last) != nil {
			a.conn.Close()
			a.x.callerLeft(http.StatusOK)
			return direct.GivenUp, true
		}
		if last && a.x.front.core.disabled.Enabled(direct.EventBatching) {
			time.Sleep(pressure.BatchDelay(a.x.front.core.Now(), a.x.front.core.pressure.Lag(), a.x.front.maxEventDelay))
		}
	}
}

// eventBufferBytes is the size of the read buffer for a stream.
const eventBufferBytes = 1 << 10

// setStallDeadline sets how long the server may stay silent.
func (a *attempt) setStallDeadline() {
	timeLeft := a.x.deadline - a.x.front.core.Now()
	if a.x.headSent && a.mayContinueElsewhere() {
		timeLeft = min(timeLeft, max(minStreamStall, streamStallPauseFactor*a.x.route.Pause))
	} else if timeout, bounded := a.stallTimeout(timeLeft); bounded && !a.x.headSent {
		timeLeft = timeout
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(timeLeft)) // it fails on a closed connection, which the next read reports
}

// continuationCheckInterval is the time between two checks for a server that could continue a
// stream. It is shorter than any stall timeout of a stream.
const continuationCheckInterval = minStreamStall / 2

// mayContinueElsewhere reports whether another server could continue the stream. If none could, the
// attempt waits for a silent server: a stream that arrives late is better than one that is cut.
func (a *attempt) mayContinueElsewhere() bool {
	if !a.mayRetry() {
		return false
	}
	now := a.x.front.core.Now()
	if a.continuationCheckedAt == 0 || now-a.continuationCheckedAt >= continuationCheckInterval {
		a.continuationCheckedAt = now
		a.canContinue = a.x.front.core.canContinueElsewhere(a.x.id)
	}
	return a.canContinue
}

// mayRetry reports whether the route allows another attempt after this one.
func (a *attempt) mayRetry() bool {
	return a.x.route.MayRepeat() && a.cmd.Attempt < a.x.route.Attempts
}

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

// eventReader reads whole events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

var (
	idField  = []byte("id:")
	eventEnd = []byte("\n\n")
)

// hasNext reports whether another whole event can be read without waiting.
func (e *eventReader) hasNext() bool {
	buffered, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && bytes.Contains(buffered, eventEnd)
}

// next returns the next whole event, valid until the next call. It returns io.EOF if the
// stream ends between two events.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	var out event
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if len(e.buffer) > maxEventBytes {
			return event{}, errTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
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
