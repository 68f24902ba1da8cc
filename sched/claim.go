package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// claimState is where a claim stands.
type claimState uint8

const (
	claimPending claimState = iota // asked for, nothing has come
	claimReady                     // came, waits for a slot
	claimStarted                   // holds a slot
)

// claim is one claim and what became of it.
type claim struct {
	seq       uint64
	key       fleet.DemandKey
	router    fleet.Name
	state     claimState
	claimedAt time.Duration // when it was claimed
	startedAt time.Duration // when it started
	estimate  time.Duration
	charged   time.Duration // part of the team's own service
}
