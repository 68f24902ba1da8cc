package gateway

import (
	"net/http"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// RequestInfo holds what the headers of a caller's request contain.
type RequestInfo struct {
	ID           string        // chosen by the caller for this attempt
	TimeLeft     time.Duration // how long the caller waits; 0: not given
	TeamKey      string
	PromptTokens int
	OutputTokens int
	Parts        []direct.PromptPart
	AfterEvent   string // id of the last event of a stream that the caller has received
	Resumes      string // id of the attempt that brought the first event of the stream; empty: not given
}

// firstAttempt returns the id of the attempt that began what the request asks for: its own, or the
// one whose stream it resumes. It is empty if the caller does not name that one.
func (i *RequestInfo) firstAttempt() string {
	if i.AfterEvent == "" {
		return i.ID
	}
	return i.Resumes
}

// CallInfo holds what a router sends to a server in the headers of a request.
type CallInfo struct {
	TimeLeft   time.Duration
	Server     string // name of the intended server
	Team       string // empty: the request has no team
	AfterEvent string // the stream continues after the event with this id
}

// ResponseInfo holds what the header of a response contains.
type ResponseInfo struct {
	RequestID   string        // id of the request that the response belongs to
	NotRun      bool          // the server reports that it did not run the request
	WrongServer bool          // the address belongs to another server
	Signed      bool          // the response carries the server's stamp
	Notice      direct.Notice // the server's notice about its own state
	// NoticeErr is set if a part of the notice could not be read; that part is ignored.
	NoticeErr error
}

// Dialect reads and writes the headers that a deployment uses.
type Dialect interface {
	// RequestID returns the id that the caller chose for its attempt.
	RequestID(h http.Header) string
	// ParseRequest reads the headers of a request. An error means that the caller sent an
	// invalid header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// OutboundHeader returns the headers to send to a server, without those that belong to
	// the caller's connection.
	OutboundHeader(h http.Header, c CallInfo) http.Header
	// ParseResponse reads the status and the headers of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRetryAfter sets the header with the time after which a refused caller should
	// retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// ReportPath returns the path at which a server tells its own state; empty: servers don't.
	ReportPath() string
	// ReportHeader returns the headers of a request for the report of the server with a name. Another one at its
	// address responds as WrongServer.
	ReportHeader(server string) http.Header
	// ParseReport returns the start of a server, as Unix time in milliseconds, from its report. It
	// returns false if the report doesn't tell it.
	ParseReport(body []byte) (startMillis int64, ok bool)
	// ReadyPath returns the path of the balancer's readiness check.
	ReadyPath() string
}
