package once

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// askTimeout is how long owners have to answer.
const askTimeout = 500 * time.Millisecond

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
	open map[uint64]*question
}

// question is one key that owners have been asked about.
type question struct {
	holder Holder
	key    Key
	owners []fleet.Name
	left   []fleet.Name // that have not answered
	noted  int
	until  time.Duration
	held   bool // the request may run; the key stays until it is released
}

// NewCoordinator returns an asker without questions.
func NewCoordinator() *Coordinator { return &Coordinator{open: map[uint64]*question{}} }

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
		return a.ask(msg)
	case VerdictMsg:
		return a.verdict(msg)
	case NotRunMsg:
		return a.notRun(msg)
	case DoneMsg:
		delete(a.open, msg.Request)
	case TickMsg:
		return a.tick(msg)
	}
	return nil
}

func (a *Coordinator) ask(msg AcquireMsg) []Command {
	owners := Owners(msg.Key, msg.Agents)
	q := &question{
		holder: msg.Holder, key: msg.Key, owners: owners,
		left: slices.Clone(owners), until: msg.Now + askTimeout,
	}
	a.open[msg.Holder.Request] = q
	var cmds []Command
	for _, o := range owners {
		cmds = append(cmds, ReserveCmd{Owner: o, Key: msg.Key, Holder: msg.Holder, CreatedAt: msg.CreatedAt})
	}
	if len(owners) == 0 {
		return a.decide(q, DecisionUncertain)
	}
	return cmds
}

func (a *Coordinator) verdict(msg VerdictMsg) []Command {
	q, ok := a.open[msg.Request]
	if !ok || q.held {
		return nil
	}
	i := slices.Index(q.left, msg.Owner)
	if i < 0 {
		return nil
	}
	q.left = slices.Delete(q.left, i, i+1)
	switch msg.Verdict {
	case VerdictDuplicate:
		return a.decide(q, DecisionDuplicate)
	case VerdictReserved:
		q.noted++
	}
	need := Quorum(len(q.owners))
	switch {
	case q.noted >= need:
		return a.decide(q, DecisionRun)
	case q.noted+len(q.left) < need:
		return a.decide(q, DecisionUncertain)
	}
	return nil
}

// decide ends a question. Where the request may not run its notes are taken
// back, so that the caller may come again.
func (a *Coordinator) decide(q *question, d Decision) []Command {
	cmds := []Command{DecideCmd{Request: q.holder.Request, Decision: d}}
	if d == DecisionRun {
		q.held = true
		return cmds
	}
	return append(cmds, a.release(q)...)
}

func (a *Coordinator) release(q *question) []Command {
	delete(a.open, q.holder.Request)
	var cmds []Command
	for _, o := range q.owners {
		cmds = append(cmds, ReleaseCmd{Owner: o, Key: q.key, Holder: q.holder})
	}
	return cmds
}

func (a *Coordinator) notRun(msg NotRunMsg) []Command {
	q, ok := a.open[msg.Request]
	if !ok {
		return nil
	}
	return a.release(q)
}

// tick ends questions whose owners have not answered in time.
func (a *Coordinator) tick(msg TickMsg) []Command {
	var late []uint64
	for id, q := range a.open {
		if !q.held && q.until <= msg.Now {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	var cmds []Command
	for _, id := range late {
		cmds = append(cmds, a.decide(a.open[id], DecisionUncertain)...)
	}
	return cmds
}
