// Package rollouts runs the decisions on roll-outs in a router: it tells rollout.Machine
// of orders, records, versions, answers and time, puts its gates in force, and writes to
// the store what it wants written.
//
// Locks: the requests' decisions tell of answers under their lock, so nothing here that
// they call waits for anything; and no lock of this package is held while they are told
// of a gate.
package rollouts
