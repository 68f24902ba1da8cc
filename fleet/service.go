package fleet

import "time"

// ServiceRow holds one team's service, in slot time, and its lift, in slot time
// per unit of share. The lift is added to a team's virtual service so that idle
// time earns no credit and the deficits that are repaid stay bounded. Neither
// value decreases, so rows merge by maximum.
type ServiceRow struct {
	Team    Team
	Service time.Duration
	Lift    time.Duration
}
