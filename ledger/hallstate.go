package ledger

import "time"

// warmupPeriod is how long a hub gathers service for a hall before it speaks
// of it: long enough for every agent's first report and a peer's rows.
const warmupPeriod = 3 * time.Second

// hallState is what a hub knows of the service of one hall.
type hallState struct {
	fromAgents   vector // of the lives known here
	fromHubs     vector // by hubs that serve the hall, or served it
	recovered    vector // told and not found in any life when the hall settled
	linkedAgents int    // agents of the hall that this hub serves
	linkedSince  time.Duration
	warmedUp     bool
}

// finishWarmup fixes what only others remember, once the hall's agents have had
// time to report: the service of lives whose hubs are all gone. It returns
// whether the hall has settled just now.
func (s *hallState) finishWarmup(now time.Duration) bool {
	if s.warmedUp || s.linkedAgents == 0 || now-s.linkedSince < warmupPeriod {
		return false
	}
	s.warmedUp = true
	for i, e := range s.fromHubs {
		if missing := e.service - s.fromAgents.at(i).service; missing > 0 {
			s.recovered.add(i, entry{service: missing, lift: e.lift})
		}
	}
	return true
}

// at returns one team's counters in the hall. Of a hall that is served here
// the lives are known first hand; of another, what its hubs say.
func (s *hallState) at(i int) entry {
	sum, told := s.fromAgents.at(i), s.fromHubs.at(i)
	e := entry{service: sum.service + s.recovered.at(i).service, lift: max(sum.lift, told.lift)}
	if s.linkedAgents == 0 {
		e.service = max(e.service, told.service)
	}
	return e
}
