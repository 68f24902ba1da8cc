package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is an operator's order to move a service's traffic to another version.
type Order struct {
	Service string
	Target  string        // version to move to
	Within  time.Duration // time from the order to its deadline
	// Made distinguishes this order from a deleted one of the same name.
	Made string
	// Revision is the revision of the order's object, for conditional writes of its status.
	Revision uint64
	// State and StateTarget are the object's status. If StateTarget differs from Target, the
	// status belongs to an order that this one replaced.
	State       State
	StateTarget string
}

// Key returns a hash that identifies the order and is the same at all routers.
func (o *Order) Key() uint64 {
	return xxhash.Sum64String(o.Service + "\x00" + o.Target + "\x00" + o.Made)
}

// status returns the state that applies to the order's own target.
func (o *Order) status() State {
	if o.StateTarget != o.Target {
		return Ordered
	}
	return o.State
}

// valid reports whether the order can be executed at all.
func (o *Order) valid() bool { return o.Target != "" && o.Within > 0 }

// State is the status of an order in the store.
type State uint8

// The states of an order.
const (
	Ordered    State = iota // no status written yet
	InProgress              // rollout is running
	Completed               // all traffic goes to the target; the old servers are stopped
	RolledBack              // the target gets no traffic; its servers are stopped
)

// Final reports whether s is a terminal state of an order.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"ordered", "in_progress", "completed", "rolled_back"}[s]
}
