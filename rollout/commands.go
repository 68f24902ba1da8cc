package rollout

import "time"

// Cmd is something that a router has to do.
type Cmd interface{ isCmd() }

// GateCmd puts a gate in force.
type GateCmd struct{ Gate Gate }

// WriteCmd writes to the store, on the condition that the object still has the revision
// that was seen. A WrittenMsg answers it. Where the store's answer shows the object as it
// is then, an OrdersMsg or a RecordsMsg with it comes before the WrittenMsg.
type WriteCmd struct {
	Kind    WriteKind
	Service string
	// Status is for WriteStatus: the order's new state, and the revision of the order
	// that it was decided on.
	Status Status
	// Record is for WriteRecord. Its Revision is that of the record that it replaces; 0: the
	// store must hold none yet.
	Record Record
}

// Status is the status to be written on an order.
type Status struct {
	State    State
	Target   string
	Revision uint64
}

// WriteKind says what a WriteCmd writes.
type WriteKind uint8

// The kinds of writes.
const (
	WriteStatus WriteKind = iota
	WriteRecord
)

// WriteResult says how a write ended.
type WriteResult uint8

// The results of a write.
const (
	Written  WriteResult = iota
	Conflict             // the object has changed, or is gone: it was not written
	Refused              // the store did not write it; try again
	Unknown              // no answer came: it may have been written, or may yet be
)

// StepCmd says that a roll-out has moved on. It is only logged.
type StepCmd struct {
	Service string
	Target  string
	Step    string // what happened: see the constants Step...
	Cause   string
	Stage   Stage
	Age     time.Duration
	Within  time.Duration
	Leads   bool
	Routers int // whose reports were merged, this one included
	// New and Old count how answers of the target's and of the old servers began.
	New, Old Tally
}

// Tally counts answers.
type Tally struct{ Good, Bad uint32 }

func (GateCmd) isCmd()  {}
func (WriteCmd) isCmd() {}
func (StepCmd) isCmd()  {}
