package gateway

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/internal/framing"
)

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
		case err != nil:
			a.conn.Close()
			return a.endBrokenStream(direct.Broken)
		}
		a.x.position = a.x.position.after(event)
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
	switch {
	case err == nil && !a.x.position.precedes(event, !a.forwarding):
		err = errEventOutOfOrder
	case err == nil:
		a.conn.CountProgress()
	}
	if err == io.EOF && a.afterEvent == "" && !a.forwarding {
		err = io.ErrUnexpectedEOF // a stream without an event is no response
	}
	if err == io.EOF && framing.IsUnframed(a.response) {
		err = a.checkUnframedEnd() // an end that is none must not cancel a backup
	}
	if a.takenOver(err) {
		return event, err
	}
	if err == nil && a.timeLeft() < minTimeLeft {
		err = os.ErrDeadlineExceeded // the host was suspended, which the connection's deadline does not count
	}
	return event, err
}

// forward writes one event, after the response header if it is the first event. Events that
// arrive together are sent together: only the last is flushed.
func (a *attempt) forward(resp *http.Response, event event, flush bool) error {
	a.x.sendHead(resp)
	if !a.forwarding {
		a.forwarding = true
		version := a.serverVersion()
		a.reportStreamBegun(version)
		a.x.recordOrigin(version)
	}
	a.resolveVersion()
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

// sendHead writes the response header, unless it has been sent.
func (x *exchange) sendHead(resp *http.Response) {
	if x.headSent {
		return
	}
	copyHeader(x.w.Header(), resp.Header)
	x.front.setConnectionClose(x.w)
	x.resetOldCaller(true)
	x.w.WriteHeader(resp.StatusCode)
	x.headSent = true
}

// resetOldCaller sets whether the close of the caller's connection resets it, if the caller would take its end for that
// of the stream: HTTP/1.0 has no chunks.
func (x *exchange) resetOldCaller(reset bool) {
	if caller := callerConnOf(x.ctx); caller != nil && !x.r.ProtoAtLeast(1, 1) {
		caller.SetResetOnClose(reset)
	}
}

// endStream ends a stream whose last event has arrived, now or before its caller resumed it.
func (a *attempt) endStream() (direct.Outcome, bool) {
	a.release()
	a.x.sendHead(a.response)
	a.x.resetOldCaller(false)
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
	if !a.x.canContinue() {
		a.reportEnd(o)
		a.x.abort("stream_broken")
	}
	return o, false
}

// end returns the result at the end of a stream: what follows the last event, if anything does, and
// io.EOF afterwards.
func (e *eventReader) end(betweenEvents bool) (event, error) {
	switch {
	case !betweenEvents:
		return event{}, io.ErrUnexpectedEOF
	case e.begun && len(e.buffer) > 0:
		return event{raw: e.buffer, isTrailer: true}, nil
	}
	return event{}, io.EOF
}
