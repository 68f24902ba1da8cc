package gateway

import (
	"net/http"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	ID           string        // the caller's name for this attempt
	TimeLeft     time.Duration // how long the caller waits; 0: it does not say
	TeamKey      string
	PromptTokens int
	OutputTokens int
	Parts        []direct.PromptPart
	AfterEvent   string // the last event that the caller has of a stream
}

// CallInfo is what a router says of a request to a server.
type CallInfo struct {
	TimeLeft   time.Duration
	Server     string // the name of the server that is meant
	Team       string // empty: the request has none
	AfterEvent string // the stream goes on after this event
}

// ResponseInfo is what the head of an answer says of it.
type ResponseInfo struct {
	RequestID   string        // of the request that is answered
	NotRun      bool          // the server says that it did not run the request
	WrongServer bool          // the address belongs to another server
	Signed      bool          // the server vouches for the answer
	Notice      direct.Notice // what the server says of itself
	// NoticeErr says which part of the notice could not be read; it counts as not said.
	NoticeErr error
}

// Dialect translates the headers of a deployment.
type Dialect interface {
	// RequestID returns the caller's name for its attempt.
	RequestID(h http.Header) string
	// ParseRequest reads a caller's headers. An error is the caller's fault.
	ParseRequest(h http.Header) (RequestInfo, error)
	// OutboundHeader returns the headers to send to a server, without those of the
	// caller's connection.
	OutboundHeader(h http.Header, c CallInfo) http.Header
	// ParseResponse reads the head of an answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRetryAfter tells a refused caller when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
	// ReadyPath is the path on which the balancer asks.
	ReadyPath() string
}
