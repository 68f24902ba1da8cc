package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// claimState is the stage of a claim.
type claimState uint8

const (
	claimPending claimState = iota // sent, no request has arrived
	claimReady                     // request arrived, waits for a slot
	claimStarted                   // request runs in a slot
)

// claim is one claim and the request that arrived for it, if any.
type claim struct {
	seq       uint64
	key       fleet.DemandKey
	router    fleet.Name
	state     claimState
	claimedAt time.Duration // when the claim was sent, or the open claim was used
	startedAt time.Duration // when the request started
	estimate  time.Duration // estimated slot time of the request
	charged   time.Duration // slot time charged so far to the team's own service
}
