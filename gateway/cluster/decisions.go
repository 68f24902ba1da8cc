package cluster

import (
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/loads"
)

// Decisions is the state machine that is told of the other routers, and tells them what
// this one does.
type Decisions interface {
	feed.StateMachine
	// Report returns what heartbeats say of this router's work; each call is for one
	// heartbeat.
	Report() direct.Report
	// Loads returns what this router has at the servers.
	Loads() []loads.Load
	// TakeCopies returns the copies of prompts' parts made through this router since the
	// last call.
	TakeCopies() []loads.Copy
	// Teams returns what this router sees of teams.
	Teams() []loads.TeamUse
}
