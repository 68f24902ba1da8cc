package ledger

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// entry is one team's counters in a vector.
type entry struct {
	service time.Duration
	lift    time.Duration
}

// teamIndex gives each team that a hub has heard of a place in its vectors.
type teamIndex struct {
	byTeam map[fleet.Team]int
	teams  []fleet.Team
}

func newTeamIndex() *teamIndex { return &teamIndex{byTeam: map[fleet.Team]int{}} }

func (x *teamIndex) indexOf(t fleet.Team) int {
	if i, ok := x.byTeam[t]; ok {
		return i
	}
	i := len(x.teams)
	x.byTeam[t] = i
	x.teams = append(x.teams, t)
	return i
}

// vector holds counters by a team's place; it grows as places are used.
type vector []entry

func (v vector) at(i int) entry {
	if i >= len(v) {
		return entry{}
	}
	return v[i]
}

func (v *vector) set(i int, e entry) {
	for len(*v) <= i {
		*v = append(*v, entry{})
	}
	(*v)[i] = e
}

// merge raises one team's counters and returns by how much its service grew.
func (v *vector) merge(i int, e entry) time.Duration {
	old := v.at(i)
	v.set(i, entry{service: max(old.service, e.service), lift: max(old.lift, e.lift)})
	return max(0, e.service-old.service)
}

// add raises one team's service by an amount and its lift to a level.
func (v *vector) add(i int, e entry) {
	old := v.at(i)
	v.set(i, entry{service: old.service + e.service, lift: max(old.lift, e.lift)})
}

// rows spells the counters that are not zero.
func (x *teamIndex) rows(v vector) []fleet.ServiceRow {
	var out []fleet.ServiceRow
	for i, e := range v {
		if e != (entry{}) {
			out = append(out, fleet.ServiceRow{Team: x.teams[i], Service: e.service, Lift: e.lift})
		}
	}
	return out
}
