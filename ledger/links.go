package ledger

import "github.com/croftvale/croftvale/fleet"

// life is the service of one life of one agent.
type life struct {
	hall    fleet.Hall
	service vector
}

// agentLink is an agent that is sent totals, and what it was sent.
type agentLink struct {
	source Source
	hall   fleet.Hall
	sent   vector
	whole  bool // it has been sent every team once
}

// peerLink is another hub, and what it was sent.
type peerLink struct {
	name  fleet.Name
	hall  fleet.Hall
	pair  bool
	sent  map[fleet.Hall]vector
	whole map[fleet.Hall]bool // it has been sent every team of the hall once
}
