package gateway

import (
	"net/http"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// Envelope is what a caller says of its request.
type Envelope struct {
	ID           string        // the caller's name for this attempt
	Left         time.Duration // how long the caller waits; 0: it does not say
	Key          string
	PromptTokens int
	OutputTokens int
	Parts        []direct.PromptPart
	AfterEvent   string // the last event that the caller has of a stream
}

// Call is what a router says of a request to a server.
type Call struct {
	Left       time.Duration
	Server     string // the name of the server that is meant
	Team       string // empty: the request has none
	AfterEvent string // the stream goes on after this event
}

// Verdict is what the head of an answer says of it.
type Verdict struct {
	ID        string        // of the request that is answered
	NotRun    bool          // the server says that it did not run the request
	Elsewhere bool          // the address belongs to another server
	Signed    bool          // the server vouches for the answer
	Notice    direct.Notice // what the server says of itself
	// Unreadable says which part of the notice could not be read; it counts as not said.
	Unreadable error
}

// Dialect translates the headers of a deployment.
type Dialect interface {
	// ID returns the caller's name for its attempt.
	ID(h http.Header) string
	// Envelope reads a caller's headers. An error is the caller's fault.
	Envelope(h http.Header) (Envelope, error)
	// Outbound returns the headers to send to a server, without those of the
	// caller's connection.
	Outbound(h http.Header, c Call) http.Header
	// Verdict reads the head of an answer.
	Verdict(status int, h http.Header) Verdict
	// ComeBack tells a refused caller when to come back.
	ComeBack(h http.Header, after time.Duration)
	// ReadyPath is the path on which the balancer asks.
	ReadyPath() string
}
