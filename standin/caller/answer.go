package caller

import "time"

// Kind is what came of a request.
type Kind uint8

// The kinds.
const (
	Served  Kind = iota // a whole answer of a backend server
	Refused             // a final answer of croftvale's own
	Broken              // no whole answer: the connection broke off
	GivenUp             // the caller's own time was over, or it hung up
)

// Answer is what came of one request.
type Answer struct {
	Kind       Kind
	Status     int
	Nonce      string
	Ran        string // what Croftvale-Ran said
	Reason     string // the refusal's type
	RetryAfter time.Duration
	Mixed      bool          // some of the answer belongs to another request
	Wait       time.Duration // to the first byte
	Took       time.Duration // to the end
}
