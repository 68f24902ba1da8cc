package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// TeamState is one team's account in a dump. Times are in milliseconds.
type TeamState struct {
	Team      fleet.Team `json:"team"`
	Share     float64    `json:"share"`
	Waiting   int        `json:"waiting"`
	Running   int        `json:"running"`
	OwnMS     int64      `json:"own_ms"`
	OthersMS  int64      `json:"others_ms"`
	LiftMS    int64      `json:"lift_ms"`
	VirtualMS int64      `json:"virtual_ms"`
}

// Teams returns every team's account, by name.
func (m *Machine) Teams() []TeamState {
	out := make([]TeamState, 0, len(m.teams))
	for _, t := range m.teams {
		out = append(out, TeamState{
			Team:      t.name,
			Share:     t.share,
			Waiting:   t.waiting(),
			Running:   t.running,
			OwnMS:     int64(t.own / time.Millisecond),
			OthersMS:  int64(t.others / time.Millisecond),
			LiftMS:    int64(t.lift / time.Millisecond),
			VirtualMS: int64(t.virtualService() / time.Millisecond),
		})
	}
	return out
}
