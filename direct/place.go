package direct

import "time"

const (
	// maxFirstEventFraction is the maximum expected time to the first event, as a fraction of
	// the objective. maxBacklogFraction is the maximum backlog of the server, for prompts so
	// long that they can't meet their objective at any server.
	maxFirstEventFraction = 0.85
	maxBacklogFraction    = 0.4
	// A team above its share of the configured capacity gets only what the others leave:
	// servers with a backlog of at most overShareBacklogFraction of the average objective,
	// which is the same for all its requests, and that hold its prompt if any server does.
	overShareBacklogFraction = 0.2

	// The costs of a placement, in milliseconds.
	lateCost = 200.0 // for certain lateness
	missCost = 0.04  // per token that must be read again
	waitCost = 0.1   // per millisecond of backlog
	slotCost = 0.5   // per request that runs at the server
	zoneCost = 4.0   // for a server in another zone
	// regionCost is for a server in another region: several milliseconds more each way than
	// within one region, and several times the price per byte.
	regionCost = 12.0
	copyCost   = 25.0 // for a server other than the preferred holder of the part
	// soleVersionCost is for a stream that begins at the only server of its version: if that server
	// fails, no other can continue the stream.
	soleVersionCost = 25.0
	// unknownVersionCost is for a stream that begins at a server of unknown version: no other can
	// continue the stream.
	unknownVersionCost = 100.0
	// rankCost is the fraction of a part's read cost by which servers without the part differ
	// in cost, so that all routers copy it to the same one.
	rankCost = 0.25

	// lateRiskFrom and lateRiskTo bound the range of the expected time, as a fraction of the
	// objective, over which the risk of being late rises from 0 to 1.
	lateRiskFrom = 0.4
	lateRiskTo   = 1.2

	// probationBonus is the extra cost that is accepted to try a server on probation.
	probationBonus = 500.0

	// candidateBatch is how many servers a request examines before it accepts one whose
	// estimate is within goodEstimateFraction of the objective. The fraction grows by
	// goodEstimateStep for each server examined: if most servers are busy, not all routers
	// choose the one that is not.
	candidateBatch       = 4
	goodEstimateFraction = 0.5
	goodEstimateStep     = 0.025

	// maxPlainExcess is the maximum number of requests beyond its slots at a server without an
	// engine.
	maxPlainExcess = 12
)

// choice is a server with the estimates of a placement there.
type choice struct {
	server     *server
	missTokens int
	estimate   time.Duration
	cost       float64
}

// place picks a server that would serve the request in time. It returns false if there is none.
//
// All routers see the same loads with some delay. If each took the cheapest of all servers,
// they would all take the same one at once. So each request first examines a few servers, which
// depend on its prompt and on chance, and examines more only if none of those has a good
// estimate.
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
			// Servers that hold parts always cost less, so without the bonus a server on
			// probation would never get the request that ends it.
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

// estimatedWithin reports whether the first event is expected within a fraction of the
// objective.
func (c choice) estimatedWithin(r *requestState, fraction float64) bool {
	return float64(c.estimate) <= fraction*float64(r.Objective)
}

// eligible reports whether a request may go to a server now. A server on probation gets only
// requests that can be retried elsewhere, one at a time.
func (m *Machine) eligible(now time.Duration, p *pool, s *server, r *requestState) bool {
	if !s.accepts(now, &r.Request) || now < s.fullUntil || !r.maySendTo(s.ID) || !m.coldSendAllowed(now, p, s) {
		return false
	}
	if r.backupOf != nil && s.seemsSilent(now) {
		return false
	}
	return !s.probation || (r.MayRepeat && r.attempt+1 < r.Attempts && s.running == 0)
}

// lastResort picks the least loaded server that is leaving, if all servers that the request may
// go to are leaving. A stream that has begun may also go to an ejected server of its version,
// since no other version can continue it.
func (m *Machine) lastResort(now time.Duration, p *pool, r *requestState) (choice, bool) {
	begun := r.Version != ""
	var best *server
	for _, s := range p.sideServers(r) {
		if !r.allows(s) || begun && !r.maySendTo(s.ID) || r.backupOf != nil && s.seemsSilent(now) {
			continue
		}
		ejected := begun && !s.leaving && now < s.ejectedUntil
		if !s.leaving && !ejected {
			return choice{}, false
		}
		if s.leaving && now-s.leavingAt > m.lastResortDuration() {
			continue
		}
		if s.evacuated || now < s.downUntil || s.inBackoff(now) {
			continue
		}
		if !r.maySendTo(s.ID) || s.totalRunning() >= s.Slots || !m.coldSendAllowed(now, p, s) {
			continue
		}
		if best == nil || s.totalRunning() < best.totalRunning() {
			best = s
		}
	}
	return choice{server: best}, best != nil
}

// evaluate estimates the cost of a request at a server and reports whether the server would
// serve it in time.
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
	waitMS := float64(s.totalPending()) / perMS
	ownMS := float64(r.ownTokens()+missTokens) / perMS
	firstMS := float64(firstEventOverhead/time.Millisecond) + waitMS + ownMS
	objectiveMS := float64(r.Objective) / float64(time.Millisecond)
	// A request beyond its team's share goes only to servers that need not read a shared part
	// again. If no holder is known, the preferred server is assumed to hold it.
	surplus := r.shareRatio > 1 && r.isFirstTry() && m.enabled(SurplusReads)
	if !fits(r, firstMS/objectiveMS, waitMS/objectiveMS, p.objectiveMS) || (surplus && missTokens > 0) {
		return choice{}, false
	}
	late := min(max((firstMS/objectiveMS-lateRiskFrom)/(lateRiskTo-lateRiskFrom), 0), 1)
	cost := lateCost*late + missCost*float64(missTokens) + waitCost*waitMS + slotCost*float64(s.totalRunning())
	cost += m.distance(s)
	if s.soleOfVersion && r.beginsResumableStream() {
		cost += soleVersionCost
	}
	if s.restarted && r.beginsResumableStream() {
		cost += unknownVersionCost
	}
	if preferred != nil && s != preferred {
		cost += copyPlacementCost(r, s, missTokens)
	}
	return choice{server: s, missTokens: missTokens, estimate: milliseconds(firstMS), cost: cost}, true
}

// fits reports whether a server would serve a request in time. first is the expected time to
// the first event and wait the backlog, both as fractions of the request's objective. averageMS
// is the average objective of all requests, in milliseconds.
func fits(r *requestState, first, wait, averageMS float64) bool {
	switch {
	case !r.isFirstTry():
		return first <= 1 || wait <= 1
	case r.shareRatio > 1:
		return first <= maxFirstEventFraction && wait*float64(r.Objective) <= overShareBacklogFraction*averageMS*float64(time.Millisecond)
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
	firstMS := latencyMS * (1 + float64(excess)/float64(slots))
	objectiveMS := float64(r.Objective) / float64(time.Millisecond)
	fits := excess == 0 || (excess <= maxPlainExcess && firstMS <= maxFirstEventFraction*objectiveMS)
	cost := firstMS + latencyMS*float64(s.totalRunning())/float64(slots) + m.distance(s) + objectiveMS*s.failureRate
	return choice{server: s, estimate: milliseconds(firstMS), cost: cost}, fits
}

// distance returns the cost of a server in another zone or region.
func (m *Machine) distance(s *server) float64 {
	switch {
	case s.Zone == m.options.Zone:
		return 0
	case m.hallRegions.isLocal(s.region):
		return zoneCost
	}
	return regionCost
}

// copyPlacementCost returns the extra cost of a server other than the preferred one. Among
// servers without the part it follows their rendezvous weights, so that all routers copy the
// part to the same one.
func copyPlacementCost(r *requestState, s *server, missTokens int) float64 {
	if missTokens == 0 {
		return copyCost
	}
	last := r.Parts[len(r.Parts)-2]
	weight := rendezvousWeight(last.ID, s)
	return rankCost * missCost * float64(last.Tokens) * (1 - float64(weight>>11)/float64(1<<53))
}

// missingTokens returns the tokens of shared parts that a server would have to read. A part is
// usable only if the server holds all parts before it as well.
func (m *Machine) missingTokens(now time.Duration, p *pool, s *server, r *requestState) int {
	missing := 0
	for i := len(r.Parts) - 2; i >= 0; i-- {
		if m.partHolders.isHolder(now, p.cacheTTL, r.Parts[i].ID, s.ID) {
			return missing
		}
		missing += r.Parts[i].Tokens
	}
	return missing
}
