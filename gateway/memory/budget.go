package memory

// Budget bounds the memory that a router holds for its callers. When it is full, the largest
// unpinned account of the team that holds the most is dropped ("longest queue drop"). So a team can
// use memory that no other team needs, but cannot keep it from the others. Create one with
// NewBudget; it is not safe for concurrent use.
type Budget struct {
	capacity     int64 // in bytes
	held         int64 // in bytes
	teams        map[string]*teamAccounts
	lastSequence uint64
}

// teamAccounts holds the non-empty accounts of one team and their total size.
type teamAccounts struct {
	bytes    int64
	accounts map[*Account]bool
}

// NewBudget returns a budget with a capacity in bytes.
func NewBudget(capacity int64) *Budget {
	return &Budget{capacity: capacity, teams: make(map[string]*teamAccounts)}
}

// Capacity returns the maximum number of bytes held.
func (b *Budget) Capacity() int64 { return b.capacity }

// Held returns the number of bytes held.
func (b *Budget) Held() int64 { return b.held }

// Grow adds n bytes to an account and reports whether the budget allows it. The accounts that it
// returns were closed to make room; the caller must close their connections. An account that may
// not grow keeps what it holds.
func (b *Budget) Grow(a *Account, n int) (dropped []*Account, ok bool) {
	if a.closed || int64(n) > b.capacity {
		return nil, false
	}
	for b.held+int64(n) > b.capacity {
		victim := b.selectVictim(a, int64(n))
		if victim == nil || victim == a {
			victim = b.largestReceiving(a, int64(n))
		}
		if victim == nil {
			return dropped, false
		}
		b.Close(victim)
		dropped = append(dropped, victim)
	}
	b.add(a, int64(n))
	return dropped, true
}

// Shrink releases n bytes of an account.
func (b *Budget) Shrink(a *Account, n int) {
	if !a.closed {
		b.add(a, -min(int64(n), a.bytes))
	}
}

// Close closes an account and releases all that it holds.
func (b *Budget) Close(a *Account) {
	b.Shrink(a, int(a.bytes))
	a.closed = true
}

func (b *Budget) add(a *Account, n int64) {
	if n == 0 {
		return
	}
	team := b.teams[a.Team]
	if team == nil {
		team = &teamAccounts{accounts: make(map[*Account]bool)}
		b.teams[a.Team] = team
	}
	if a.bytes == 0 {
		b.lastSequence++
		a.sequence = b.lastSequence
		team.accounts[a] = true
	}
	a.bytes += n
	team.bytes += n
	b.held += n
	if a.bytes == 0 {
		delete(team.accounts, a)
	}
	if team.bytes == 0 {
		delete(b.teams, a.Team)
	}
}

// selectVictim returns the account to drop so that a can grow by n bytes. It returns nil if none can
// be dropped, and a itself if its team would hold the most and a would be the largest there.
func (b *Budget) selectVictim(a *Account, n int64) *Account {
	team, maxBytes := a.Team, n
	if own := b.teams[a.Team]; own != nil {
		maxBytes += own.bytes
	}
	for name, t := range b.teams {
		if name != a.Team && t.droppable() && (t.bytes > maxBytes || t.bytes == maxBytes && name < team) {
			team, maxBytes = name, t.bytes
		}
	}
	if team != a.Team {
		return b.teams[team].largest(nil, 0)
	}
	own := b.teams[a.Team]
	switch {
	case own == nil:
		return a
	case a.Pinned:
		return own.largest(nil, 0)
	}
	return own.largest(a, a.bytes+n)
}

// largestReceiving returns the largest response that a server is sending for a team which would hold more
// than that of a, or nil if there is none: a faulty server must not take the memory of other teams.
func (b *Budget) largestReceiving(a *Account, n int64) *Account {
	var found *Account
	ownBytes := n
	if own := b.teams[a.Team]; own != nil {
		ownBytes += own.bytes
	}
	for name, t := range b.teams {
		if name == a.Team || t.bytes <= ownBytes {
			continue
		}
		for other := range t.accounts {
			if other.Receiving && (found == nil || other.bytes > found.bytes || other.bytes == found.bytes && other.sequence < found.sequence) {
				found = other
			}
		}
	}
	return found
}

// droppable reports whether any account of the team may be dropped.
func (t *teamAccounts) droppable() bool {
	for a := range t.accounts {
		if !a.Pinned {
			return true
		}
	}
	return false
}

// largest returns the unpinned account that holds the most; of equal ones, the oldest. It returns
// fallback if no other account holds more than minBytes.
func (t *teamAccounts) largest(fallback *Account, minBytes int64) *Account {
	found, maxBytes := fallback, minBytes
	for a := range t.accounts {
		older := found != nil && found != fallback && a.sequence < found.sequence
		if !a.Pinned && a != fallback && (a.bytes > maxBytes || a.bytes == maxBytes && older) {
			found, maxBytes = a, a.bytes
		}
	}
	return found
}
