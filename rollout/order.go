package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is an operator's order to move a service's traffic to another version.
type Order struct {
	Service string
	Target  string        // the version to move to
	Within  time.Duration // from the order until the move has to be done
	// Made tells this order from an earlier one of the same name that was deleted.
	Made string
	// Revision is that of the order's object, for conditional writes of its status.
	Revision uint64
	// State and StateTarget are the object's status. A status whose target is not the
	// order's belongs to an order that was replaced.
	State       State
	StateTarget string
}

// Key is the same at all routers for the same order, and differs for another.
func (o *Order) Key() uint64 {
	return xxhash.Sum64String(o.Service + "\x00" + o.Target + "\x00" + o.Made)
}

// status is the state that holds for the order's own target.
func (o *Order) status() State {
	if o.StateTarget != o.Target {
		return Ordered
	}
	return o.State
}

// sensible tells whether the order can be carried out at all.
func (o *Order) valid() bool { return o.Target != "" && o.Within > 0 }

// State is the word that the store has on an order.
type State uint8

// The states of an order.
const (
	Ordered    State = iota // no router has said anything yet
	InProgress              // under way
	Completed               // all traffic goes to the target; the old servers stop
	RolledBack              // the target gets nothing; its servers end
)

// Final tells whether the state is the last of its order.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// String names the state for logs.
func (s State) String() string {
	return [...]string{"ordered", "in_progress", "completed", "rolled_back"}[s]
}
