package once

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// reserveTimeout is how long a coordinator waits for the verdicts of owners.
const reserveTimeout = 500 * time.Millisecond

// Decision is the coordinator's result for a request with an idempotency key.
type Decision uint8

// Decisions of a coordinator.
const (
	// DecisionRun means that no other attempt has run or will run.
	DecisionRun Decision = iota
	// DecisionDuplicate means that another attempt holds the key.
	DecisionDuplicate
	// DecisionUncertain means that too few owners could rule out an earlier
	// attempt.
	DecisionUncertain
)

// Coordinator reserves keys on behalf of a router: it sends reservations to the
// owners of each key and counts their verdicts. It performs no I/O and reads no
// clock.
type Coordinator struct {
	reservations map[uint64]*reservation
}

// reservation is the state of one key that a coordinator reserves or holds.
type reservation struct {
	holder     Holder
	key        Key
	owners     []fleet.Name
	unanswered []fleet.Name  // owners without a verdict yet
	reserved   int           // owners that returned VerdictReserved
	deadline   time.Duration // for the verdicts
	granted    bool          // the request may run; kept until NotRunMsg or DoneMsg
}

// NewCoordinator returns a coordinator without reservations.
func NewCoordinator() *Coordinator { return &Coordinator{reservations: map[uint64]*reservation{}} }

// CoordinatorMsg is an input to Coordinator.Update. The field Now of each
// message is the time since the process started.
type CoordinatorMsg interface{ isCoordinatorMsg() }

// AcquireMsg asks whether a request with an idempotency key may run. CreatedAt
// is when the caller first used the key, by the caller's clock, or zero if
// unknown.
type AcquireMsg struct {
	Now       time.Duration
	Holder    Holder
	Key       Key
	CreatedAt time.Time
	Agents    []fleet.Name // agents of the work's servers
}

// VerdictMsg carries one owner's verdict.
type VerdictMsg struct {
	Now     time.Duration
	Owner   fleet.Name
	Request uint64
	Verdict Verdict
}

// NotRunMsg reports that a request has not run and will not run, so its key can
// be released.
type NotRunMsg struct {
	Now     time.Duration
	Request uint64
}

// DoneMsg reports that a request has had its final response.
type DoneMsg struct {
	Now     time.Duration
	Request uint64
}

// TickMsg advances the time, so that reservations expire.
type TickMsg struct{ Now time.Duration }

func (AcquireMsg) isCoordinatorMsg() {}
func (VerdictMsg) isCoordinatorMsg() {}
func (NotRunMsg) isCoordinatorMsg()  {}
func (DoneMsg) isCoordinatorMsg()    {}
func (TickMsg) isCoordinatorMsg()    {}

// Command is an action that the caller of Coordinator.Update must carry out.
type Command interface{ isCommand() }

// ReserveCmd asks an owner to reserve a key.
type ReserveCmd struct {
	Owner     fleet.Name
	Key       Key
	Holder    Holder
	CreatedAt time.Time
}

// ReleaseCmd asks an owner to release a key because its request has not run.
type ReleaseCmd struct {
	Owner  fleet.Name
	Key    Key
	Holder Holder
}

// DecideCmd returns the decision on a request.
type DecideCmd struct {
	Request  uint64
	Decision Decision
}

func (ReserveCmd) isCommand() {}
func (ReleaseCmd) isCommand() {}
func (DecideCmd) isCommand()  {}

// Update processes one message and returns the resulting commands in order.
func (c *Coordinator) Update(msg CoordinatorMsg) []Command {
	switch msg := msg.(type) {
	case AcquireMsg:
		return c.acquire(msg)
	case VerdictMsg:
		return c.handleVerdict(msg)
	case NotRunMsg:
		return c.notRun(msg)
	case DoneMsg:
		delete(c.reservations, msg.Request)
	case TickMsg:
		return c.tick(msg)
	}
	return nil
}

func (c *Coordinator) acquire(msg AcquireMsg) []Command {
	owners := Owners(msg.Key, msg.Agents)
	r := &reservation{
		holder: msg.Holder, key: msg.Key, owners: owners,
		unanswered: slices.Clone(owners), deadline: msg.Now + reserveTimeout,
	}
	c.reservations[msg.Holder.Request] = r
	var cmds []Command
	for _, o := range owners {
		cmds = append(cmds, ReserveCmd{Owner: o, Key: msg.Key, Holder: msg.Holder, CreatedAt: msg.CreatedAt})
	}
	if len(owners) == 0 {
		return c.decide(r, DecisionUncertain)
	}
	return cmds
}

func (c *Coordinator) handleVerdict(msg VerdictMsg) []Command {
	r, ok := c.reservations[msg.Request]
	if !ok || r.granted {
		return nil
	}
	i := slices.Index(r.unanswered, msg.Owner)
	if i < 0 {
		return nil
	}
	r.unanswered = slices.Delete(r.unanswered, i, i+1)
	switch msg.Verdict {
	case VerdictDuplicate:
		return c.decide(r, DecisionDuplicate)
	case VerdictReserved:
		r.reserved++
	}
	quorum := Quorum(len(r.owners))
	switch {
	case r.reserved >= quorum:
		return c.decide(r, DecisionRun)
	case r.reserved+len(r.unanswered) < quorum:
		return c.decide(r, DecisionUncertain)
	}
	return nil
}

// decide ends the wait for the owners' verdicts. If the request may not run, its
// key is released so that the caller can retry.
func (c *Coordinator) decide(r *reservation, d Decision) []Command {
	cmds := []Command{DecideCmd{Request: r.holder.Request, Decision: d}}
	if d == DecisionRun {
		r.granted = true
		return cmds
	}
	return append(cmds, c.release(r)...)
}

// release removes a reservation and asks the owners to release its key.
func (c *Coordinator) release(r *reservation) []Command {
	delete(c.reservations, r.holder.Request)
	var cmds []Command
	for _, o := range r.owners {
		cmds = append(cmds, ReleaseCmd{Owner: o, Key: r.key, Holder: r.holder})
	}
	return cmds
}

func (c *Coordinator) notRun(msg NotRunMsg) []Command {
	r, ok := c.reservations[msg.Request]
	if !ok {
		return nil
	}
	return c.release(r)
}

// tick ends reservations whose owners have not answered in time.
func (c *Coordinator) tick(msg TickMsg) []Command {
	var expired []uint64
	for id, r := range c.reservations {
		if !r.granted && r.deadline <= msg.Now {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	var cmds []Command
	for _, id := range expired {
		cmds = append(cmds, c.decide(c.reservations[id], DecisionUncertain)...)
	}
	return cmds
}
