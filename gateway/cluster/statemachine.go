package cluster

import (
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/loads"
)

// StateMachine is the state machine of the router. It receives the state of the other routers and
// returns what this one reports to them.
type StateMachine interface {
	feed.StateMachine
	// Report returns this router's report for one heartbeat. Call it once per heartbeat.
	Report() direct.Report
	// Loads returns this router's loads at the servers.
	Loads() []loads.Load
	// TakeCopies returns the copies of prompt parts made through this router since the last call.
	TakeCopies() []loads.Copy
	// Teams returns the usage of teams that this router observes.
	Teams() []loads.TeamUse
}
