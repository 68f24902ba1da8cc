package direct

import "time"

// Notice is what a server says of itself in an answer, whatever else the answer is. The
// zero value says nothing.
type Notice struct {
	Leaving bool          // it will end, and must get no new requests
	Rest    time.Duration // it wants nothing from this router for so long
}

// None tells whether the server said nothing of itself.
func (n Notice) None() bool { return n == Notice{} }
