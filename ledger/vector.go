package ledger

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// entry holds one team's service, in slot time, and its lift, in slot time per
// unit of share.
type entry struct {
	service time.Duration
	lift    time.Duration
}

// teamIndex maps each team known to a hub to its index in the hub's vectors.
type teamIndex struct {
	byTeam map[fleet.Team]int
	names  []fleet.Team
}

func newTeamIndex() *teamIndex { return &teamIndex{byTeam: map[fleet.Team]int{}} }

func (x *teamIndex) indexOf(t fleet.Team) int {
	if i, ok := x.byTeam[t]; ok {
		return i
	}
	i := len(x.names)
	x.byTeam[t] = i
	x.names = append(x.names, t)
	return i
}

// vector holds counters by team index. It grows as indexes are used.
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

// merge raises one team's counters to the maximum of old and new, and returns
// the increase in service.
func (v *vector) merge(i int, e entry) time.Duration {
	old := v.at(i)
	v.set(i, entry{service: max(old.service, e.service), lift: max(old.lift, e.lift)})
	return max(0, e.service-old.service)
}

// add increases one team's service by e.service and raises its lift to at least
// e.lift.
func (v *vector) add(i int, e entry) {
	old := v.at(i)
	v.set(i, entry{service: old.service + e.service, lift: max(old.lift, e.lift)})
}

// rows returns the rows of the teams with counters other than zero.
func (x *teamIndex) rows(v vector) []fleet.ServiceRow {
	var out []fleet.ServiceRow
	for i, e := range v {
		if e != (entry{}) {
			out = append(out, fleet.ServiceRow{Team: x.names[i], Service: e.service, Lift: e.lift})
		}
	}
	return out
}
