package gateway

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
)

// wholeMost bounds an answer that is read before it is forwarded.
const wholeMost = 4 << 20

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer that is no stream, and forwards it where it is sound.
func (a *attempt) whole(answer *http.Response, v Verdict) (direct.Outcome, bool) {
	body, err := readHeld(answer.Body, wholeSize(answer), wholeMost, a.x.grow)
	a.count(len(body))
	if errors.Is(err, errNoMemory) {
		// The request has run, and nobody can hold its answer: neither its server is to blame nor
		// would another one help.
		a.conn.Close()
		a.x.fail("memory")
		return direct.GivenUp, true
	}
	if err != nil || !sound(answer, v) {
		a.conn.Close()
		return a.lost(direct.Broken)
	}
	a.release()
	got := &whole{status: answer.StatusCode, header: answer.Header, body: body}
	a.first()
	if answer.StatusCode/100 == 5 {
		return a.serverFailed(got)
	}
	if a.x.headSent {
		// A stream that was to go on got an answer of another kind.
		return a.lost(direct.Failed)
	}
	if promises(answer.StatusCode) {
		return direct.Failed, false
	}
	got.write(a.x)
	a.x.finish(resultServed, got.status, "")
	return direct.Done, true
}

// wholeSize is the length of an answer's body, or negative where reading has to find that.
func wholeSize(answer *http.Response) int64 {
	if answer.ContentLength > wholeMost {
		return -1
	}
	return answer.ContentLength
}

// serverFailed keeps a server's own failure while another server is tried.
func (a *attempt) serverFailed(got *whole) (direct.Outcome, bool) {
	if !a.x.headSent && !promises(got.status) {
		a.x.held = got
	}
	return a.lost(direct.Failed)
}

// first tells the machine that the server has answered.
func (a *attempt) first() {
	now := a.x.front.core.Now()
	if a.x.firstAt == 0 {
		a.x.firstAt = now
	}
	a.x.front.core.Update(direct.FirstEventMsg{Now: now, ID: a.x.id})
}

// sound tells whether an answer may be forwarded: a success must be vouched
// for, and callers ask for plain bodies.
func sound(answer *http.Response, v Verdict) bool {
	if answer.StatusCode/100 == 2 && !v.Signed {
		return false
	}
	return answer.Header.Get("Content-Encoding") == ""
}

// promises tells whether a status says that the request did not run, which a
// server's status without its word for it does not.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// write passes the answer on.
func (h *whole) write(x *exchange) {
	copyHeader(x.w.Header(), h.header)
	if x.r.Method != http.MethodHead && bodyAllowed(h.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	x.front.closing(x.w)
	x.w.WriteHeader(h.status)
	_, _ = x.w.Write(h.body) // what a caller does not read is told by its send queue
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
