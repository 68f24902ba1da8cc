package once

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// reserveTimeout is how long owners have to answer.
const reserveTimeout = 500 * time.Millisecond

// Decision is what may be done with a request that bears a key.
type Decision uint8

// The decisions.
const (
	// DecisionRun means that no other attempt has run or will.
	DecisionRun Decision = iota
	// DecisionDuplicate means that another attempt holds the key.
	DecisionDuplicate
	// DecisionUncertain means that too few owners can vouch for the key.
	DecisionUncertain
)

// Coordinator is a router's part: it asks the owners of keys and counts their
// answers. It is pure.
type Coordinator struct {
	reservations map[uint64]*reservation
}

// reservation is one key that owners have been asked about.
type reservation struct {
	holder     Holder
	key        Key
	owners     []fleet.Name
	unanswered []fleet.Name // that have not answered
	reserved   int
	deadline   time.Duration
	granted    bool // the request may run; the key stays until it is released
}

// NewCoordinator returns an asker without questions.
func NewCoordinator() *Coordinator { return &Coordinator{reservations: map[uint64]*reservation{}} }

// CoordinatorMsg is anything that an Asker can be told.
type CoordinatorMsg interface{ isCoordinatorMsg() }

// AcquireMsg asks about the key of a request.
type AcquireMsg struct {
	Now       time.Duration
	Holder    Holder
	Key       Key
	CreatedAt time.Time
	Agents    []fleet.Name // agents of the work's servers
}

// VerdictMsg brings an owner's verdict.
type VerdictMsg struct {
	Now     time.Duration
	Owner   fleet.Name
	Request uint64
	Verdict Verdict
}

// NotRunMsg says that a request has not run and will not: its key is free.
type NotRunMsg struct {
	Now     time.Duration
	Request uint64
}

// DoneMsg says that a request has had its final answer.
type DoneMsg struct {
	Now     time.Duration
	Request uint64
}

// TickMsg lets time pass.
type TickMsg struct{ Now time.Duration }

func (AcquireMsg) isCoordinatorMsg() {}
func (VerdictMsg) isCoordinatorMsg() {}
func (NotRunMsg) isCoordinatorMsg()  {}
func (DoneMsg) isCoordinatorMsg()    {}
func (TickMsg) isCoordinatorMsg()    {}

// Command is something that an Asker wants done.
type Command interface{ isCommand() }

// ReserveCmd asks an owner to note a key.
type ReserveCmd struct {
	Owner     fleet.Name
	Key       Key
	Holder    Holder
	CreatedAt time.Time
}

// ReleaseCmd tells an owner that a key's request has not run.
type ReleaseCmd struct {
	Owner  fleet.Name
	Key    Key
	Holder Holder
}

// DecideCmd says what may be done with a request.
type DecideCmd struct {
	Request  uint64
	Decision Decision
}

func (ReserveCmd) isCommand() {}
func (ReleaseCmd) isCommand() {}
func (DecideCmd) isCommand()  {}

// Update takes one message and returns what is to be done about it, in order.
func (a *Coordinator) Update(msg CoordinatorMsg) []Command {
	switch msg := msg.(type) {
	case AcquireMsg:
		return a.acquire(msg)
	case VerdictMsg:
		return a.handleVerdict(msg)
	case NotRunMsg:
		return a.notRun(msg)
	case DoneMsg:
		delete(a.reservations, msg.Request)
	case TickMsg:
		return a.tick(msg)
	}
	return nil
}

func (a *Coordinator) acquire(msg AcquireMsg) []Command {
	owners := Owners(msg.Key, msg.Agents)
	q := &reservation{
		holder: msg.Holder, key: msg.Key, owners: owners,
		unanswered: slices.Clone(owners), deadline: msg.Now + reserveTimeout,
	}
	a.reservations[msg.Holder.Request] = q
	var cmds []Command
	for _, o := range owners {
		cmds = append(cmds, ReserveCmd{Owner: o, Key: msg.Key, Holder: msg.Holder, CreatedAt: msg.CreatedAt})
	}
	if len(owners) == 0 {
		return a.decide(q, DecisionUncertain)
	}
	return cmds
}

func (a *Coordinator) handleVerdict(msg VerdictMsg) []Command {
	q, ok := a.reservations[msg.Request]
	if !ok || q.granted {
		return nil
	}
	i := slices.Index(q.unanswered, msg.Owner)
	if i < 0 {
		return nil
	}
	q.unanswered = slices.Delete(q.unanswered, i, i+1)
	switch msg.Verdict {
	case VerdictDuplicate:
		return a.decide(q, DecisionDuplicate)
	case VerdictReserved:
		q.reserved++
	}
	quorum := Quorum(len(q.owners))
	switch {
	case q.reserved >= quorum:
		return a.decide(q, DecisionRun)
	case q.reserved+len(q.unanswered) < quorum:
		return a.decide(q, DecisionUncertain)
	}
	return nil
}

// decide ends a question. Where the request may not run its notes are taken
// back, so that the caller may come again.
func (a *Coordinator) decide(q *reservation, d Decision) []Command {
	cmds := []Command{DecideCmd{Request: q.holder.Request, Decision: d}}
	if d == DecisionRun {
		q.granted = true
		return cmds
	}
	return append(cmds, a.release(q)...)
}

func (a *Coordinator) release(q *reservation) []Command {
	delete(a.reservations, q.holder.Request)
	var cmds []Command
	for _, o := range q.owners {
		cmds = append(cmds, ReleaseCmd{Owner: o, Key: q.key, Holder: q.holder})
	}
	return cmds
}

func (a *Coordinator) notRun(msg NotRunMsg) []Command {
	q, ok := a.reservations[msg.Request]
	if !ok {
		return nil
	}
	return a.release(q)
}

// tick ends questions whose owners have not answered in time.
func (a *Coordinator) tick(msg TickMsg) []Command {
	var expired []uint64
	for id, q := range a.reservations {
		if !q.granted && q.deadline <= msg.Now {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	var cmds []Command
	for _, id := range expired {
		cmds = append(cmds, a.decide(a.reservations[id], DecisionUncertain)...)
	}
	return cmds
}
