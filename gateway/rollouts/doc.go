// Package rollouts runs the decisions on roll-outs in a router: it tells rollout.Machine
// of orders, records, versions, answers and time, puts its gates in force, and carries out
// its writes to the store.
//
// Locks: the requests' decisions tell of answers under their lock, so nothing here that
// they call waits for anything; and no lock of this package is held while they are told
// of a gate.
package rollouts
