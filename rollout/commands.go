package rollout

import "time"

// Cmd is an action for the router to execute.
type Cmd interface{ isCmd() }

// GateCmd applies a gate.
type GateCmd struct{ Gate Gate }

// WriteCmd writes to the store, on the condition that the object still has the observed
// revision. The router replies with a WriteDoneMsg. If the store's response contains the
// object's present state, an OrdersMsg or a RecordsMsg with it precedes the WriteDoneMsg.
type WriteCmd struct {
	Kind    WriteKind
	Service string
	// Status is set for WriteStatus: the order's new state, and the revision of the order that
	// the decision was based on.
	Status Status
	// Record is set for WriteRecord. Its Revision is that of the record it replaces; 0 means
	// that the store must not hold a record yet.
	Record Record
}

// Status is a status to write to an order.
type Status struct {
	State    State
	Target   string
	Revision uint64
}

// WriteKind is the kind of object that a WriteCmd writes.
type WriteKind uint8

// The kinds of writes.
const (
	WriteStatus WriteKind = iota
	WriteRecord
)

// WriteResult is the outcome of a write.
type WriteResult uint8

// The results of a write.
const (
	Written  WriteResult = iota
	Conflict             // the object has changed or was deleted; nothing was written
	Refused              // the store did not execute the write; retry
	Unknown              // no reply: the write may have been executed, or may still be
)

// StepCmd reports a step of a rollout. It is only logged.
type StepCmd struct {
	Service string
	Target  string
	Step    string // what happened: one of the constants Step...
	Cause   string
	Stage   Stage
	Age     time.Duration // time since the order was made
	Within  time.Duration // time from the order to its deadline
	Leads   bool          // this router is the leader
	Routers int           // routers whose reports were merged, including this one
	// New and Old count the starts of responses of the target's and of the old servers.
	New, Old Tally
}

// Tally counts good and bad responses.
type Tally struct{ Good, Bad uint32 }

func (GateCmd) isCmd()  {}
func (WriteCmd) isCmd() {}
func (StepCmd) isCmd()  {}
