package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Mode selects the policy by which an agent picks the next team.
type Mode string

// Scheduling modes. ModeLocal and ModeFIFO exist as baselines for measurements.
const (
	ModeFleet Mode = "fleet" // least virtual service across the fleet
	ModeLocal Mode = "local" // least virtual service at this agent only
	ModeFIFO  Mode = "fifo"  // longest-waiting request first
)

// Config holds the properties of the backend server and the policy settings
// that a Machine schedules by.
type Config struct {
	Slots        int
	Works        []fleet.Work
	Shares       map[fleet.Team]float64
	Mode         Mode
	ShareEvery   time.Duration // maximum interval between service messages while service is being given
	Delta        time.Duration // unsent slot time of one team that triggers an early service message
	UrgentBorrow time.Duration // slot time per unit of share that urgent work may take ahead of its turn
	CatchUp      time.Duration // largest deficit, in slot time per unit of share, that is repaid
	ClaimAhead   int           // claims held in addition to the number of slots
	// PeerSlotRatio is, for each work, the number of slots on the other servers
	// that run it divided by this server's slots. See team.estimatedPeerService.
	PeerSlotRatio map[fleet.Work]float64
}

// canRun reports whether the server runs work w.
func (c Config) canRun(w fleet.Work) bool {
	for _, have := range c.Works {
		if have == w {
			return true
		}
	}
	return false
}
