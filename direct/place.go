package direct

import "time"

const (
	// maxFirstEventFraction is the part of the objective that the expected first event may
	// take; waitWithin the part that the server's backlog may take, for prompts
	// so long that they cannot meet their objective anywhere.
	maxFirstEventFraction = 0.85
	maxBacklogFraction    = 0.4
	// A team that gets more than its share of what is configured has only what
	// others leave: servers with a backlog of at most overWait of the average
	// objective, the same for all its requests, and which keep its prompt where
	// any does.
	overShareBacklogFraction = 0.2

	// The costs of a choice, in milliseconds.
	lateCost = 200.0 // for being late for certain
	missCost = 0.04  // for each token that must be read again
	waitCost = 0.1   // for each millisecond of backlog
	slotCost = 0.5   // for each request that runs there
	zoneCost = 4.0   // for a server of another zone
	// regionCost is for a server of another region: several milliseconds more each way
	// than within one, and bytes at several times the price.
	regionCost = 12.0
	copyCost   = 25.0 // for a server that is not the first to keep the part
	// rankCost is the part of the cost of reading a part that tells servers
	// apart which do not keep it, so that all routers copy it to the same one.
	rankCost = 0.25

	// lateRiskFrom and certainTo bound the part of the objective, as expected,
	// between which being late goes from unlikely to likely.
	lateRiskFrom = 0.4
	lateRiskTo   = 1.2

	// probationBonus is what a trial of a server on probation may cost.
	probationBonus = 500.0

	// candidateBatch is how many servers a request looks at before it is content with
	// one that is expected within goodTime of the objective, and laterTime for
	// each server that it has looked at: where most servers are busy, not all
	// routers take the one that is not.
	candidateBatch       = 4
	goodEstimateFraction = 0.5
	goodEstimateStep     = 0.025

	// maxPlainExcess is how many requests a plain server may have beyond its slots.
	maxPlainExcess = 12
)

// choice is a server that was weighed for a request.
type choice struct {
	server     *server
	missTokens int
	estimate   time.Duration
	cost       float64
}

// place picks a server among those that would serve the request in time, or
// returns false.
//
// All routers see the same loads, some time late: if each took the cheapest of
// all servers, they would take the same one at once. So each request looks at a
// few servers first, which its prompt and chance give it, and at more only where
// none of those would serve it in good time.
func (m *Machine) place(now time.Duration, p *pool, r *requestState) (choice, bool) {
	preferred := m.preferredServer(now, p, r)
	candidates := m.candidates(now, p, r)
	best, found := choice{}, false
	for i := range candidates {
		if found && m.enabled(FewCandidates) && i%candidateBatch == 0 && best.estimatedWithin(r, goodEstimateFraction+goodEstimateStep*float64(i)) {
			break
		}
		if i == candidateBatch {
			sortRest(candidates)
		}
		c := candidates[i]
		evaluated, fits := m.evaluate(now, p, c.server, r, preferred)
		if !fits {
			continue
		}
		if c.server.probation {
			// Without a trial it would never come back: servers that keep
			// parts always cost less.
			evaluated.cost -= probationBonus
		}
		if !found || evaluated.cost < best.cost {
			best, found = evaluated, true
		}
	}
	if !found {
		return m.lastResort(now, p, r)
	}
	return best, true
}

// estimatedWithin tells whether the first event is expected within a part of the
// objective.
func (c choice) estimatedWithin(r *requestState, fraction float64) bool {
	return float64(c.estimate) <= fraction*float64(r.Objective)
}

// eligible tells whether a request may go to a server now.
func (m *Machine) eligible(now time.Duration, p *pool, s *server, r *requestState) bool {
	if !s.accepts(now, r.Regions) || now < s.fullUntil || r.hasTried(s.ID) || !m.coldSendAllowed(now, p, s) {
		return false
	}
	return !s.probation || (r.MayRepeat && r.attempt+1 < r.Attempts && s.running == 0)
}

// lastResort picks a server that is leaving, where no other that the request may go to is
// known.
func (m *Machine) lastResort(now time.Duration, p *pool, r *requestState) (choice, bool) {
	var best *server
	for _, s := range p.eligible(r) {
		if !r.Regions.Allows(s.region) {
			continue
		}
		if !s.leaving {
			return choice{}, false
		}
		if s.evacuated || now-s.leavingAt > m.lastResortDuration() || now < s.downUntil || s.inBackoff(now) {
			continue
		}
		if r.hasTried(s.ID) || s.totalRunning() >= s.Slots || !m.coldSendAllowed(now, p, s) {
			continue
		}
		if best == nil || s.totalRunning() < best.totalRunning() {
			best = s
		}
	}
	return choice{server: best}, best != nil
}

// evaluate estimates what a request would cost at a server, and tells whether the
// server would serve it in time.
func (m *Machine) evaluate(now time.Duration, p *pool, s *server, r *requestState, preferred *server) (choice, bool) {
	if p.engine == nil {
		return m.evaluatePlain(s, r)
	}
	if s.totalRunning() >= max(s.Slots, 1) {
		return choice{}, false
	}
	perMS := p.tokenRateOf(s)
	missTokens := 0
	if s != preferred {
		missTokens = m.missingTokens(now, p, s, r)
	}
	wait := float64(s.totalPending()) / perMS
	own := float64(r.ownTokens()+missTokens) / perMS
	first := float64(firstEventOverhead/time.Millisecond) + wait + own
	objectiveMS := float64(r.Objective) / float64(time.Millisecond)
	// A request beyond its team's share goes only where no shared part must be read
	// again. Where no server is known to keep the part, home is assumed to keep it.
	surplus := r.shareRatio > 1 && r.attempt == 0 && m.enabled(SurplusReads)
	if !fits(r, first/objectiveMS, wait/objectiveMS, p.objectiveMS) || (surplus && missTokens > 0) {
		return choice{}, false
	}
	late := min(max((first/objectiveMS-lateRiskFrom)/(lateRiskTo-lateRiskFrom), 0), 1)
	cost := lateCost*late + missCost*float64(missTokens) + waitCost*wait + slotCost*float64(s.totalRunning())
	cost += m.distance(s)
	if preferred != nil && s != preferred {
		cost += copyPlacementCost(r, s, missTokens)
	}
	return choice{server: s, missTokens: missTokens, estimate: milliseconds(first), cost: cost}, true
}

// fits tells whether a server would serve a request in time. first and wait are
// the expected first event and the backlog, in parts of the objective; average is
// the objective of all requests, in milliseconds.
func fits(r *requestState, first, wait, average float64) bool {
	switch {
	case r.attempt > 0:
		return first <= 1 || wait <= 1
	case r.shareRatio > 1:
		return first <= maxFirstEventFraction && wait*float64(r.Objective) <= overShareBacklogFraction*average*float64(time.Millisecond)
	}
	return first <= maxFirstEventFraction || wait <= maxBacklogFraction
}

func (m *Machine) evaluatePlain(s *server, r *requestState) (choice, bool) {
	latencyMS := s.latencyMS
	if latencyMS == 0 {
		latencyMS = initialPlainLatencyMS
	}
	slots := max(s.Slots, 1)
	excess := max(s.totalRunning()+1-slots, 0)
	first := latencyMS * (1 + float64(excess)/float64(slots))
	objectiveMS := float64(r.Objective) / float64(time.Millisecond)
	fits := excess == 0 || (excess <= maxPlainExcess && first <= maxFirstEventFraction*objectiveMS)
	cost := first + latencyMS*float64(s.totalRunning())/float64(slots) + m.distance(s) + objectiveMS*s.failureRate
	return choice{server: s, estimate: milliseconds(first), cost: cost}, fits
}

// distance is the cost of a server in another zone or region.
func (m *Machine) distance(s *server) float64 {
	switch {
	case s.Zone == m.options.Zone:
		return 0
	case m.hallRegions.isLocal(s.region):
		return zoneCost
	}
	return regionCost
}

// copyPlacementCost tells apart the servers other than the first that keeps a part: by the
// order of the part's rendezvous weights, so that all routers copy it to the
// same one.
func copyPlacementCost(r *requestState, s *server, missTokens int) float64 {
	if missTokens == 0 {
		return copyCost
	}
	last := r.Parts[len(r.Parts)-2]
	weight := rendezvousWeight(last.ID, s)
	return rankCost * missCost * float64(last.Tokens) * (1 - float64(weight>>11)/float64(1<<53))
}

// missingTokens returns the tokens of shared parts that a server would have to read.
// A part is of use only where everything before it is kept as well.
func (m *Machine) missingTokens(now time.Duration, p *pool, s *server, r *requestState) int {
	miss := 0
	for i := len(r.Parts) - 2; i >= 0; i-- {
		if m.partHolders.isHolder(now, p.cacheTTL, r.Parts[i].ID, s.ID) {
			return miss
		}
		miss += r.Parts[i].Tokens
	}
	return miss
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
