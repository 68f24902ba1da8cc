package direct

// Outcome is the result of an attempt at a server.
type Outcome uint8

// The outcomes of an attempt.
const (
	Done         Outcome = iota // whole response
	Unsent                      // no byte of the request left the router
	NotRun                      // the server reports that it did not run the request
	Elsewhere                   // another server has the address; the request did not run
	Failed                      // whole response that reports a failure of the server
	Broken                      // sent, but no whole response arrived
	Hung                        // sent, but nothing arrived in time, and the attempt was canceled
	GivenUp                     // ended by the caller or by the route's timeout
	Withheld                    // placed, but not sent because of a notice of the server
	Unidentified                // not sent, since the server did not tell its start as it should
)

// MayHaveRun reports whether a server may have run the request, at least in part.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Unsent, NotRun, Elsewhere, Withheld, Unidentified:
		return false
	}
	return true
}

// isUnsent reports whether the server got nothing of the request.
func (o Outcome) isUnsent() bool { return o == Unsent || o == Withheld || o == Unidentified }

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"done", "unsent", "not_run", "elsewhere", "failed", "broken", "hung", "given_up", "withheld", "unidentified"}[o]
}
