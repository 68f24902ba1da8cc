package ledger

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// entry is one team's counters in a vector.
type entry struct {
	service time.Duration
	lift    time.Duration
}

// vector holds counters by team.
type vector map[fleet.Team]entry

// merge raises one team's counters and returns by how much its service grew.
func (v vector) merge(r Row) time.Duration {
	old := v[r.Team]
	v[r.Team] = entry{
		service: max(old.service, r.Service),
		lift:    max(old.lift, r.Lift),
	}
	return max(0, r.Service-old.service)
}

// add raises one team's service by an amount and its lift to a level.
func (v vector) add(t fleet.Team, service, lift time.Duration) {
	old := v[t]
	v[t] = entry{service: old.service + service, lift: max(old.lift, lift)}
}

// rows returns the vector by team.
func (v vector) rows() []Row {
	out := make([]Row, 0, len(v))
	for t, e := range v {
		out = append(out, Row{Team: t, Service: e.service, Lift: e.lift})
	}
	slices.SortFunc(out, func(a, b Row) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return out
}

// changed returns the rows of v that differ from old, and copies them there.
func (v vector) changed(old vector) []Row {
	var out []Row
	for _, r := range v.rows() {
		e := v[r.Team]
		if old[r.Team] == e {
			continue
		}
		old[r.Team] = e
		out = append(out, r)
	}
	return out
}
