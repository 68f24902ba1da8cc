package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/internal/framing"
)

const (
	// maxBufferedBytes bounds a response that is buffered before it is forwarded.
	maxBufferedBytes = 4 << 20
	// bodyProgressBytes is the part of a body that counts as progress.
	bodyProgressBytes = 1 << 10
	// minBodyStall is the shortest time without progress after which a backup is asked for.
	minBodyStall = 800 * time.Millisecond
)

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// bufferResponse reads a response that is not a stream, and forwards it if it is valid.
func (a *attempt) bufferResponse(resp *http.Response, info ResponseInfo) (direct.Outcome, bool) {
	body, err := a.readBody(resp)
	a.countBytes(len(body))
	if a.successor != nil {
		return direct.Hung, false
	}
	if errors.Is(err, errNoMemory) {
		// The request has run, but its response does not fit into memory. The server is
		// not at fault, and another server would not help.
		a.conn.Close()
		a.x.fail("memory")
		return direct.GivenUp, true
	}
	if err != nil || !isForwardable(resp, info) {
		a.conn.Close()
		return a.endWithoutResponse(direct.Broken)
	}
	a.release()
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	a.reportResponse(direct.FirstEventMsg{})
	if resp.StatusCode/100 == 5 {
		return a.keepFailure(buffered)
	}
	if a.x.headSent {
		// The stream was to continue, but the response is not a stream.
		return a.endWithoutResponse(direct.Failed)
	}
	if claimsNotRun(resp.StatusCode) {
		return direct.Failed, false
	}
	buffered.write(a.x)
	a.x.finish(resultServed, buffered.status, "")
	return direct.Done, true
}

// readBody reads the body of a response that is not a stream. If successor is set afterwards, another
// attempt has taken over and the result is not valid.
func (a *attempt) readBody(resp *http.Response) ([]byte, error) {
	source := &progressReader{source: resp.Body, onProgress: func() {
		a.conn.CountProgress()
		if !a.takenOver(nil) {
			a.watch.arm(a.bodyTimeout())
		}
	}}
	a.watch.arm(a.bodyTimeout())
	queues, account := a.x.front.sendQueues, &a.x.memory
	queues.SetReceiving(account, true)
	body, err := readBuffered(source, bufferedSize(resp), maxBufferedBytes, func(n int) bool { return queues.Grow(account, n, a.cancel) })
	if !queues.SetReceiving(account, false) {
		err = errNoMemory
	}
	if errors.Is(err, errNoMemory) {
		a.takenOver(nil) // a backup would not help
		return nil, err
	}
	if err == nil && framing.IsUnframed(resp) && !a.unframed.end.isWhole() && a.checkUnframedEnd() != io.EOF {
		err = io.ErrUnexpectedEOF
	}
	a.takenOver(err)
	return body, err
}

// bodyTimeout returns how long the server may take for bodyProgressBytes of a body, or for its end,
// until a backup is asked for. It returns 0 if there is no limit.
func (a *attempt) bodyTimeout() time.Duration {
	return a.limitSilence(max(minBodyStall, a.firstEventStall()))
}

// progressReader reports progress whenever bodyProgressBytes have been read. Fewer bytes are none,
// however steadily they come.
type progressReader struct {
	source     io.Reader
	unreported int
	onProgress func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.unreported += n
	if r.unreported >= bodyProgressBytes {
		r.unreported = 0
		r.onProgress()
	}
	return n, err
}

// bufferedSize returns the length of a response's body. It is negative if the length is
// unknown or above the limit.
func bufferedSize(resp *http.Response) int64 {
	switch {
	case resp.Body == http.NoBody:
		return 0 // a response to HEAD states the length that one to GET would have
	case resp.ContentLength > maxBufferedBytes:
		return -1
	}
	return resp.ContentLength
}

// keepFailure keeps a server's own failure while another server is tried.
func (a *attempt) keepFailure(failure *bufferedResponse) (direct.Outcome, bool) {
	if !a.x.headSent && !claimsNotRun(failure.status) {
		a.x.serverFailure = failure
	}
	return a.endWithoutResponse(direct.Failed)
}

// reportStreamBegun reports to the machine that the caller gets events of a stream, from a server of a
// version.
func (a *attempt) reportStreamBegun(version string) {
	a.reportResponse(direct.FirstEventMsg{Streaming: true, Version: version})
}

// reportResponse reports to the machine that the server has responded.
func (a *attempt) reportResponse(msg direct.FirstEventMsg) {
	msg.Now, msg.ID = a.x.front.core.Now(), a.id
	if a.x.respondedAt == 0 {
		a.x.respondedAt = msg.Now
	}
	a.x.front.core.Update(msg)
}

// isForwardable reports whether a response may be forwarded: a success must carry the
// server's stamp, and the body must not be encoded, since callers request plain bodies.
func isForwardable(resp *http.Response, info ResponseInfo) bool {
	if resp.StatusCode/100 == 2 && !info.Signed {
		return false
	}
	return resp.Header.Get("Content-Encoding") == ""
}

// claimsNotRun reports whether a status means that the request did not run. The status
// alone does not prove that: the server must also report it in a header.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// write forwards the response to the caller.
func (b *bufferedResponse) write(x *exchange) {
	copyHeader(x.w.Header(), b.header)
	if x.r.Method != http.MethodHead && bodyAllowed(b.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	x.front.setConnectionClose(x.w)
	x.w.WriteHeader(b.status)
	_, _ = x.w.Write(b.body) // the send queue reports what a caller does not read
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// connectionHeaders belong to one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Expect": true,
}

// copyHeader copies the headers that do not belong to the server's connection. It keeps
// net/http from adding a Content-Type or a Date that the server did not send.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
	if from["Content-Type"] == nil {
		to["Content-Type"] = nil
	}
	if from["Date"] == nil {
		to["Date"] = nil
	}
}
