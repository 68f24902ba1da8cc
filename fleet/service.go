package fleet

import "time"

// ServiceRow is one team's service in slot time, and its lift in slot time per
// unit of share. Both only grow, so rows merge by maximum.
type ServiceRow struct {
	Team    Team
	Service time.Duration
	Lift    time.Duration
}
