package ledger

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// settleAfter is how long a hub gathers service for a hall before it speaks
// of it: long enough for every agent's first report and a peer's rows.
const settleAfter = 3 * time.Second

// hallState is what a hub knows of the service of one hall.
type hallState struct {
	sum     vector // of the lives known here
	told    vector // by hubs that serve the hall, or served it
	carry   vector // told and not found in any life when the hall settled
	linked  int    // agents of the hall that this hub serves
	since   time.Duration
	settled bool
}

func newHallState() *hallState {
	return &hallState{sum: vector{}, told: vector{}, carry: vector{}}
}

// settle fixes what only others remember, once the hall's agents have had
// time to report: the service of lives whose hubs are all gone.
func (s *hallState) settle(now time.Duration) {
	if s.settled || s.linked == 0 || now-s.since < settleAfter {
		return
	}
	s.settled = true
	for t, e := range s.told {
		if missing := e.service - s.sum[t].service; missing > 0 {
			s.carry.add(t, missing, e.lift)
		}
	}
}

// service returns one team's counters in the hall. Of a hall that is served
// here the lives are known first hand; of another, what its hubs say.
func (s *hallState) service(t fleet.Team) entry {
	sum, told := s.sum[t], s.told[t]
	e := entry{service: sum.service + s.carry[t].service, lift: max(sum.lift, told.lift)}
	if s.linked == 0 {
		e.service = max(e.service, told.service)
	}
	return e
}

// vector returns the counters of every team in the hall.
func (s *hallState) vector() vector {
	out := vector{}
	for t := range s.sum {
		out[t] = s.service(t)
	}
	for t := range s.told {
		out[t] = s.service(t)
	}
	return out
}
