package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Config holds the identity of the router and the limits that a Machine
// enforces.
type Config struct {
	Self              fleet.Name
	Hall              fleet.Hall
	MaxWaiting        int                // waiting requests, all teams together
	MaxWaitingPerTeam map[fleet.Team]int // waiting requests of one team
	MaxWait           time.Duration      // longest wait of one request
	RetryBudget       float64            // retries per first attempt
}

// teamLimit returns the maximum number of waiting requests of a team. A team
// without a limit of its own is limited by MaxWaiting only.
func (c Config) teamLimit(t fleet.Team) int {
	if n, ok := c.MaxWaitingPerTeam[t]; ok {
		return n
	}
	return c.MaxWaiting
}
