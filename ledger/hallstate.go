package ledger

import "time"

// warmupPeriod is how long a hub collects service for a hall before it reports
// the hall's totals. It leaves time for the first report of every agent and for
// the rows of a peer hub.
const warmupPeriod = 3 * time.Second

// hallState holds a hub's service counters for one hall.
type hallState struct {
	fromAgents   vector        // sum over the agent incarnations that this hub holds
	fromHubs     vector        // totals reported by hubs that serve or served the hall
	recovered    vector        // in fromHubs but missing from fromAgents when the warm-up ended
	linkedAgents int           // agents of the hall that this hub serves
	linkedSince  time.Duration // when the first of them was linked; starts the warm-up
	warmedUp     bool
}

// finishWarmup ends the warm-up once the hall's agents have had time to report.
// It then recovers the service that only other halls' hubs still hold: that of
// incarnations whose own hubs have all restarted. It reports whether the warm-up
// ended in this call.
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

// at returns the counters of the team at index i in the hall. For a hall that
// this hub serves, it uses the agents' own reports and the recovered service.
// For other halls it also uses the totals reported by their hubs.
func (s *hallState) at(i int) entry {
	fromAgents, fromHubs := s.fromAgents.at(i), s.fromHubs.at(i)
	e := entry{service: fromAgents.service + s.recovered.at(i).service, lift: max(fromAgents.lift, fromHubs.lift)}
	if s.linkedAgents == 0 {
		e.service = max(e.service, fromHubs.service)
	}
	return e
}
