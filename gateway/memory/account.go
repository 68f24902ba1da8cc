package memory

// Account tracks the memory held for one connection of a caller or for one request body. The zero
// value is an empty account for callers without a team.
type Account struct {
	// Team is the team that the memory counts for. It must not change while the account holds any.
	Team string
	// Pinned marks an account whose data must not be dropped: the body of a request that may be sent
	// to servers, or a response still being received from one. Bodies still being received, and
	// responses waiting for their callers to read, are not pinned.
	Pinned bool
	// Receiving marks a pinned account that also grows with a response from a server. It may be dropped
	// for a team that holds less.
	Receiving bool

	bytes    int64
	sequence uint64 // order in which accounts began to hold memory
	closed   bool
}

// Bytes returns the number of bytes held.
func (a *Account) Bytes() int64 { return a.bytes }

// Closed reports whether the account was dropped by the budget or closed by its owner.
func (a *Account) Closed() bool { return a.closed }
