package direct

// Outcome says how an attempt at a server ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Done      Outcome = iota // a whole answer
	Unsent                   // no byte of the request left the router
	NotRun                   // the server says that it did not run it
	Elsewhere                // another server has the address; it did not run it
	Failed                   // the server's own failure, a whole answer
	Broken                   // sent; no whole answer came
	Hung                     // sent; nothing came in good time, and it was cut
	GivenUp                  // the caller or the route's timeout ended it
	Moved                    // it was broken off to go on at a server of another version
	Withheld                 // placed, and not sent as its server said since that it wants nothing
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"done", "unsent", "not_run", "elsewhere", "failed", "broken", "hung", "given_up", "moved", "withheld"}[o]
}
