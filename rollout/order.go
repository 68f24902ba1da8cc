package rollout

import "time"

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
