package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// runState is where a claim stands.
type runState uint8

const (
	runClaimed runState = iota // asked for, nothing has come
	runReady                   // came, waits for a slot
	runStarted                 // holds a slot
)

// run is one claim and what became of it.
type run struct {
	seq      uint64
	key      fleet.DemandKey
	router   fleet.Name
	state    runState
	claimed  time.Duration // when it was claimed
	started  time.Duration // when it started
	estimate time.Duration
	charged  time.Duration // part of the team's own service
}
