package rollout

import "time"

// Cmd is something that a router has to do.
type Cmd interface{ isCmd() }

// GateCmd puts a gate in force.
type GateCmd struct{ Gate Gate }

// WriteCmd writes to the store, under a condition. A WrittenMsg tells how it ended; what
// then holds comes as an OrdersMsg or a RecordsMsg before it, where it is known.
type WriteCmd struct {
	Kind    WriteKind
	Service string
	// Status is for WriteStatus: the order's new state, and the revision of the order
	// that it was decided on.
	Status Status
	// Record is for WriteRecord. Its Revision is that of the record which it replaces;
	// 0: there is none yet.
	Record Record
}

// Status is what is written on an order.
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
	Refused              // the store did nothing; try again
	Unknown              // no answer came: it may have been written, or may yet be
)

// StepCmd says that a roll-out has moved on; it changes nothing outside and is there to
// be logged.
type StepCmd struct {
	Service string
	Target  string
	Step    string // what happened: see the constants Step...
	Cause   string
	Stage   Stage
	Age     time.Duration
	Within  time.Duration
	Leads   bool
	Routers int // whose reports were added up, this one included
	// Answers of the target's servers, and of the old ones, in all routes.
	New, Old Tally
}

// Tally counts answers.
type Tally struct{ Good, Bad uint32 }

func (GateCmd) isCmd()  {}
func (WriteCmd) isCmd() {}
func (StepCmd) isCmd()  {}
