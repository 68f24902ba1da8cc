package gateway

import (
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
)

// What the decisions tell of themselves: to other routers, to roll-outs, to the store and to dumps.

// Report returns what this router does at the moment, for one heartbeat.
func (c *core) Report() direct.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Report(c.Now())
}

// Loads returns what this router has at the servers.
func (c *core) Loads() []loads.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Loads()
}

// TakeCopies returns the copies of prompts' parts made through this router since the last
// call.
func (c *core) TakeCopies() []loads.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.TakeCopies()
}

// Teams returns what this router sees of teams.
func (c *core) Teams() []loads.TeamUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Teams(c.Now())
}

// weightOf returns how much of this router's work a team asks for.
func (c *core) weightOf(team string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.TeamWeight(c.Now(), team)
}

// records returns which records of barred contents the store should get, and which it should lose.
func (c *core) records() (add, remove []quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.PendingRecords()
}

// suspects returns what is known of contents under which servers crashed.
func (c *core) suspects(most int) []quarantine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.QuarantineStates(c.Now(), most)
}

// shares returns what the machine takes the teams' shares to be.
func (c *core) shares(n int) direct.Shares {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Shares(c.Now(), n)
}

// AllOldRunning counts the requests at servers of old versions, by service.
func (c *core) AllOldRunning() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.AllOldRunning()
}

// RequestCounts counts the requests that came since services began to move, by service.
func (c *core) RequestCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.RequestCounts()
}

// servers returns what the machine takes the servers to be.
func (c *core) servers() []direct.ServerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Servers(c.Now())
}
