// Package rollouts runs a router's rollouts: it passes orders, records, versions, responses
// and ticks to rollout.Machine, applies the machine's gates, and carries out its writes to
// the store.
//
// Locks: the request state machine reports responses under its own lock, so the methods that
// it calls here never block. No lock of this package is held while a gate is passed to it.
package rollouts
