package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Config is what a Machine has to know of its router and the bundle.
type Config struct {
	Self              fleet.Name
	Hall              fleet.Hall
	MaxWaiting        int                // requests, all teams
	MaxWaitingPerTeam map[fleet.Team]int // requests, by team
	MaxWait           time.Duration
	RetryBudget       float64 // retries per first attempt
}

// teamLimit returns how many requests of a team may wait.
func (c Config) teamLimit(t fleet.Team) int {
	if n, ok := c.MaxWaitingPerTeam[t]; ok {
		return n
	}
	return c.MaxWaiting
}
