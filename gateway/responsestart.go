package gateway

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/internal/framing"
)

const (
	// maxDiscardBytes and discardTimeout bound a body that is read only to reuse its connection.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 20 * time.Millisecond
)

// startResult tells how the first part of an attempt has ended: the response has begun, or else the
// attempt has ended with an outcome.
type startResult struct {
	begun   bool
	outcome direct.Outcome // if the response has not begun
	// event and err are the first result of reading the stream, if the response is one.
	event event
	err   error
}

// failedStart returns the result of an attempt that ended before its response began.
func failedStart(o direct.Outcome) startResult { return startResult{outcome: o} }

// awaitResponse reads the header of the response and, if it is a stream, its first event.
func (a *attempt) awaitResponse() startResult {
	a.watch.arm(a.firstEventTimeout())
	resp, err := a.conn.ReadResponse(a.x.r.Method, func(h *http.Response) bool {
		info := a.x.front.dialect.ParseResponse(h.StatusCode, h.Header)
		a.applyNotice(info)
		return info.RequestID == a.x.info.ID
	})
	if err != nil {
		if !a.handOver(direct.Broken) {
			a.conn.Close()
		}
		return failedStart(direct.Broken)
	}
	a.response, a.info = resp, a.x.front.dialect.ParseResponse(resp.StatusCode, resp.Header)
	a.watchUnframed(resp)
	outcome := a.outcomeOfHead()
	if outcome != direct.Done && a.handOver(outcome) {
		return startResult{}
	}
	switch {
	case !outcome.MayHaveRun():
		a.declined.Store(true)
		a.discard(resp)
		return failedStart(outcome)
	case !a.isStream(resp) && !a.watch.isEnabled() && !a.canReplace(resp):
		a.discard(resp)
		return failedStart(direct.Failed)
	case !a.isStream(resp) && !a.watch.isEnabled():
		return a.awaitBody(resp)
	case !a.isStream(resp):
		return startResult{begun: true}
	case !isForwardable(resp, a.info):
		if !a.handOver(direct.Broken) {
			a.conn.Close()
		}
		return failedStart(direct.Broken)
	}
	a.events = &eventReader{reader: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
	event, err := a.nextEvent()
	if err != nil && err != io.EOF {
		a.conn.Close()
		return failedStart(direct.Broken)
	}
	return startResult{begun: true, event: event, err: err}
}

// awaitBody waits for the body of a backup's response, or for as much of it as counts as progress. A head
// alone is no response that could replace a silent server.
func (a *attempt) awaitBody(resp *http.Response) startResult {
	if resp.Body == http.NoBody {
		return startResult{begun: true}
	}
	body := bufio.NewReaderSize(resp.Body, bodyProgressBytes)
	resp.Body = io.NopCloser(body)
	a.watch.arm(a.bodyTimeout())
	_, err := body.Peek(bodyProgressBytes)
	if err == io.EOF && framing.IsUnframed(resp) {
		err = a.checkUnframedEnd()
	}
	if err != nil && err != io.EOF {
		if !a.takenOver(err) {
			a.conn.Close()
		}
		return failedStart(direct.Broken)
	}
	return startResult{begun: true}
}

// canReplace reports whether the response of a backup is worth more than a server that is silent: it
// is a success, and not one that should have continued a stream.
func (a *attempt) canReplace(resp *http.Response) bool {
	return a.afterEvent == "" && resp.StatusCode/100 != 5 && !claimsNotRun(resp.StatusCode) && isForwardable(resp, a.info)
}

// outcomeOfHead returns the outcome that the header of the response leads to: Elsewhere or NotRun if the
// server did not run the request, Failed if it failed, and otherwise Done.
func (a *attempt) outcomeOfHead() direct.Outcome {
	switch {
	case a.info.WrongServer:
		return direct.Elsewhere
	case a.info.NotRun && a.response.StatusCode != http.StatusBadRequest:
		return direct.NotRun
	case a.response.StatusCode/100 == 5:
		return direct.Failed
	}
	return direct.Done
}

// takenOver resolves the race with a backup after a read that returned err, and reports whether the
// backup has won.
func (a *attempt) takenOver(err error) bool {
	if err != nil && err != io.EOF {
		return a.handOver(direct.Broken)
	}
	return a.handOver(direct.Done)
}

// handOver ends the wait for the server with an outcome, and reports whether a backup has taken over. Done
// stands for a response that is worth reading on.
func (a *attempt) handOver(o direct.Outcome) bool {
	a.successor = a.watch.disarm(o)
	return a.successor != nil
}

// applyNotice processes the server's notice in a response header, including that of a late
// response to an earlier request.
func (a *attempt) applyNotice(info ResponseInfo) {
	if info.WrongServer {
		return // the response comes from another server
	}
	if info.NoticeErr != nil {
		a.x.front.log.UnreadableNotice(a.cmd.Server, info.NoticeErr)
	}
	if info.Notice.IsZero() {
		return
	}
	a.notice = info.Notice
	a.x.front.stats.ServerNotice(info.Notice)
	a.x.front.core.Update(direct.NoticeMsg{Now: a.x.front.core.Now(), Server: a.cmd.Server.ID, Notice: info.Notice, OfNextStart: a.leadsToNextStart()})
}

// discard drops a response of which only the header matters. Its connection can be used again if the
// body is there already; waiting for more of it would hold the request.
func (a *attempt) discard(resp *http.Response) {
	_ = a.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes {
		a.conn.Close()
		return
	}
	a.release()
}
