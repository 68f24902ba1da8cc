package ledger

import "github.com/croftvale/croftvale/fleet"

// agentService holds the service counters of one incarnation of an agent.
type agentService struct {
	hall    fleet.Hall
	service vector
}

// agentLink is an agent that this hub sends totals to, with the counters last
// sent.
type agentLink struct {
	source  Source
	hall    fleet.Hall
	sent    vector
	sentAll bool // every team has been sent once
}

// peerLink is another hub, with the counters last sent to it by hall.
type peerLink struct {
	name    fleet.Name
	hall    fleet.Hall
	paired  bool
	sent    map[fleet.Hall]vector
	sentAll map[fleet.Hall]bool // every team of the hall has been sent once
}
