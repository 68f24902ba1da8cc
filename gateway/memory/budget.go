package memory

// Budget bounds what a router holds for its callers. Where it is full, the team that holds most
// gives way, and of what it has that can be dropped the largest: so a team gets the memory that
// no other asks for, and none can take all of it ("longest queue drop"). Make one with NewBudget; it is
// not safe for concurrent use.
type Budget struct {
	capacity     int64
	held         int64
	teams        map[string]*teamAccounts
	lastSequence uint64
}

// teamAccounts are the accounts of one team that hold something.
type teamAccounts struct {
	bytes    int64
	accounts map[*Account]bool
}

// NewBudget returns a budget of so many bytes.
func NewBudget(capacity int64) *Budget {
	return &Budget{capacity: capacity, teams: make(map[string]*teamAccounts)}
}

// Capacity is how many bytes may be held.
func (b *Budget) Capacity() int64 { return b.capacity }

// Held is how many bytes are held.
func (b *Budget) Held() int64 { return b.held }

// Grow has an account hold n bytes more, and tells whether it may. The accounts it returns have
// given way and are closed: their connections are to be closed. An account that may not grow
// keeps what it has.
func (b *Budget) Grow(a *Account, n int) (dropped []*Account, ok bool) {
	if a.closed || int64(n) > b.capacity {
		return nil, false
	}
	for b.held+int64(n) > b.capacity {
		victim := b.selectVictim(a, int64(n))
		if victim == nil || victim == a {
			return dropped, false
		}
		b.Close(victim)
		dropped = append(dropped, victim)
	}
	b.add(a, int64(n))
	return dropped, true
}

// Shrink has an account hold n bytes less.
func (b *Budget) Shrink(a *Account, n int) {
	if !a.closed {
		b.add(a, -min(int64(n), a.bytes))
	}
}

// Close ends an account; it holds nothing any more.
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

// selectVictim returns the account that gives way for n more bytes of another one: nil where none can,
// the other one itself where its own team holds most and it is the largest there.
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

// droppable tells whether an account can give way.
func (h *teamAccounts) droppable() bool {
	for a := range h.accounts {
		if !a.Pinned {
			return true
		}
	}
	return false
}

// largest returns the account that holds most, of those that can give way: of equal ones the
// oldest. It is first where none holds more than that many bytes.
func (h *teamAccounts) largest(fallback *Account, minBytes int64) *Account {
	found, maxBytes := fallback, minBytes
	for a := range h.accounts {
		older := found != nil && found != fallback && a.sequence < found.sequence
		if !a.Pinned && a != fallback && (a.bytes > maxBytes || a.bytes == maxBytes && older) {
			found, maxBytes = a, a.bytes
		}
	}
	return found
}
