package ledger

import "github.com/croftvale/croftvale/fleet"

// incarnation is the service of one incarnation of one agent.
type incarnation struct {
	hall    fleet.Hall
	service vector
}

// agentLink is an agent that is sent totals, and what it was sent.
type agentLink struct {
	source  Source
	hall    fleet.Hall
	sent    vector
	sentAll bool // it has been sent every team once
}

// peerLink is another hub, and what it was sent.
type peerLink struct {
	name    fleet.Name
	hall    fleet.Hall
	paired  bool
	sent    map[fleet.Hall]vector
	sentAll map[fleet.Hall]bool // it has been sent every team of the hall once
}
