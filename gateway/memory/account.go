package memory

// Account is what a router holds for one connection of a caller, or for one request's body. The
// zero value holds nothing, for callers without a team.
type Account struct {
	// Team is whose memory it is. It must not change while the account holds anything.
	Team string
	// Pinned says that what it holds can't be dropped before it is done with: the body of a request
	// that servers may run, or an answer on its way from one. Bodies that still come and
	// answers that wait for their readers can.
	Pinned bool

	bytes    int64
	sequence uint64 // in the order in which accounts began to hold something
	closed   bool
}

// Bytes is what the account holds.
func (a *Account) Bytes() int64 { return a.bytes }

// Closed tells whether the budget has dropped the account, or it was closed.
func (a *Account) Closed() bool { return a.closed }
