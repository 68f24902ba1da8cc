package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Mode is the way an agent picks a team.
type Mode string

// The modes. All but ModeFleet are baselines for measurements.
const (
	ModeFleet Mode = "fleet" // least virtual service in the whole fleet
	ModeLocal Mode = "local" // least virtual service at this agent alone
	ModeFIFO  Mode = "fifo"  // the request that has waited longest
)

// Config is what a Machine has to know of its server and the bundle.
type Config struct {
	Slots        int
	Works        []fleet.Work
	Shares       map[fleet.Team]float64
	Mode         Mode
	ShareEvery   time.Duration // longest time between two service messages while service flows
	Delta        time.Duration // unsent slot time of one team that is sent at once
	UrgentBorrow time.Duration // slot time per share that urgent work may take ahead of its turn
	CatchUp      time.Duration // largest deficit per share that is repaid
	ClaimAhead   int           // claims held beyond the slots
	// PeerSlotRatio is, for each work, the slots of the other servers that run it, in
	// units of this server's slots. See team.mirrored.
	PeerSlotRatio map[fleet.Work]float64
}

// canRun tells whether the server does a work.
func (c Config) canRun(w fleet.Work) bool {
	for _, have := range c.Works {
		if have == w {
			return true
		}
	}
	return false
}
