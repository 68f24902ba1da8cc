package ledger

import "time"

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

// settle fixes what only others remember, once the hall's agents have had
// time to report: the service of lives whose hubs are all gone. It returns
// whether the hall has settled just now.
func (s *hallState) settle(now time.Duration) bool {
	if s.settled || s.linked == 0 || now-s.since < settleAfter {
		return false
	}
	s.settled = true
	for i, e := range s.told {
		if missing := e.service - s.sum.at(i).service; missing > 0 {
			s.carry.add(i, entry{service: missing, lift: e.lift})
		}
	}
	return true
}

// at returns one team's counters in the hall. Of a hall that is served here
// the lives are known first hand; of another, what its hubs say.
func (s *hallState) at(i int) entry {
	sum, told := s.sum.at(i), s.told.at(i)
	e := entry{service: sum.service + s.carry.at(i).service, lift: max(sum.lift, told.lift)}
	if s.linked == 0 {
		e.service = max(e.service, told.service)
	}
	return e
}
