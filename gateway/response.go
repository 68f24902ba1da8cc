package gateway

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
)

// maxBufferedBytes bounds an answer that is read before it is forwarded.
const maxBufferedBytes = 4 << 20

// bufferedResponse is an answer that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// bufferResponse reads an answer that is no stream, and forwards it where it is sound.
func (a *attempt) bufferResponse(resp *http.Response, info ResponseInfo) (direct.Outcome, bool) {
	body, err := readBuffered(resp.Body, bufferedSize(resp), maxBufferedBytes, a.x.grow)
	a.countBytes(len(body))
	if errors.Is(err, errNoMemory) {
		// The request has run, and nobody can hold its answer: neither its server is to blame nor
		// would another one help.
		a.conn.Close()
		a.x.fail("memory")
		return direct.GivenUp, true
	}
	if err != nil || !isForwardable(resp, info) {
		a.conn.Close()
		return a.endWithoutResponse(direct.Broken)
	}
	a.release()
	response := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	a.reportResponse()
	if resp.StatusCode/100 == 5 {
		return a.keepFailure(response)
	}
	if a.x.headSent {
		// A stream that was to go on got an answer of another kind.
		return a.endWithoutResponse(direct.Failed)
	}
	if claimsNotRun(resp.StatusCode) {
		return direct.Failed, false
	}
	response.write(a.x)
	a.x.finish(resultServed, response.status, "")
	return direct.Done, true
}

// bufferedSize is the length of an answer's body, or negative where reading has to find that.
func bufferedSize(resp *http.Response) int64 {
	if resp.ContentLength > maxBufferedBytes {
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

// reportResponse tells the machine that the server has answered.
func (a *attempt) reportResponse() {
	now := a.x.front.core.Now()
	if a.x.respondedAt == 0 {
		a.x.respondedAt = now
	}
	a.x.front.core.Update(direct.FirstEventMsg{Now: now, ID: a.x.id})
}

// isForwardable tells whether an answer may be forwarded: a success must be vouched
// for, and callers ask for plain bodies.
func isForwardable(resp *http.Response, info ResponseInfo) bool {
	if resp.StatusCode/100 == 2 && !info.Signed {
		return false
	}
	return resp.Header.Get("Content-Encoding") == ""
}

// claimsNotRun tells whether a status says that the request did not run, which a
// server's status without its word for it does not.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// write passes the answer on.
func (b *bufferedResponse) write(x *exchange) {
	copyHeader(x.w.Header(), b.header)
	if x.r.Method != http.MethodHead && bodyAllowed(b.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	x.front.setConnectionClose(x.w)
	x.w.WriteHeader(b.status)
	_, _ = x.w.Write(b.body) // what a caller does not read is told by its send queue
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

// copyHeader forwards the headers that do not belong to the server's
// connection.
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
