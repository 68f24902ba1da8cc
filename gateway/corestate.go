package gateway

import (
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
)

// Accessors to the state of the machine for other routers, rollouts, the store and dumps.

// Report returns the report of this router for one heartbeat.
func (c *core) Report() direct.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Report(c.Now())
}

// Loads returns the load that this router has on each server.
func (c *core) Loads() []loads.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Loads()
}

// TakeCopies returns the copies of prompt parts that were created through this router since
// the previous call.
func (c *core) TakeCopies() []loads.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.TakeCopies()
}

// Teams returns the use of each team as this router observes it.
func (c *core) Teams() []loads.TeamUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Teams(c.Now())
}

// witnesses returns the addresses of servers that show whether a silence is that of one server.
func (c *core) witnesses(id direct.RequestID) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Witnesses(id)
}

// teamWeight returns the share of this router's work that a team requests.
func (c *core) teamWeight(team string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.TeamWeight(c.Now(), team)
}

// pendingRecords returns the quarantine records of a kind that the store should add and those that it
// should remove.
func (c *core) pendingRecords(kind quarantine.Kind) (add, remove []quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.PendingRecords(kind)
}

// quarantineRecords returns the fingerprints of a kind that are barred and have a record in the store,
// as far as is known.
func (c *core) quarantineRecords(kind quarantine.Kind) []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.QuarantineRecords(kind)
}

// quarantineStates returns the states of at most limit request fingerprints under which
// servers crashed.
func (c *core) quarantineStates(limit int) []quarantine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.QuarantineStates(c.Now(), limit)
}

// shares returns the machine's estimate of the shares of at most n teams.
func (c *core) shares(n int) direct.Shares {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Shares(c.Now(), n)
}

// AllOldRunning returns the number of requests on servers of old versions, by service.
func (c *core) AllOldRunning() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.AllOldRunning()
}

// RequestCounts returns the number of requests that arrived since the rollout of each service
// began, by service.
func (c *core) RequestCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.RequestCounts()
}

// serverStates returns the state of each server as the machine sees it.
func (c *core) serverStates() []direct.ServerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Servers(c.Now())
}
