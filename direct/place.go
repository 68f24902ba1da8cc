package direct

import "time"

const (
	// fitWithin is the part of the objective that the expected first event may
	// take; waitWithin the part that the server's backlog may take, for prompts
	// so long that they cannot meet their objective anywhere.
	fitWithin  = 0.85
	waitWithin = 0.4
	// A team that gets more than its share of what is configured has only what
	// others leave: servers with a backlog of at most overWait of the average
	// objective, the same for all its requests, and which keep its prompt where
	// any does.
	overWait = 0.2

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

	// certainFrom and certainTo bound the part of the objective, as expected,
	// between which being late goes from unlikely to likely.
	certainFrom = 0.4
	certainTo   = 1.2

	// trialWorth is what a trial of a server on probation may cost.
	trialWorth = 500.0

	// lookEach is how many servers a request looks at before it is content with
	// one that is expected within goodTime of the objective, and laterTime for
	// each server that it has looked at: where most servers are busy, not all
	// routers take the one that is not.
	lookEach  = 4
	goodTime  = 0.5
	laterTime = 0.025

	// plainQueue is how many requests a plain server may have beyond its slots.
	plainQueue = 12
)

// choice is a server that was weighed for a request.
type choice struct {
	server   *server
	miss     int
	estimate time.Duration
	cost     float64
}

// place picks a server among those that would serve the request in time, or
// returns false.
//
// All routers see the same loads, some time late: if each took the cheapest of
// all servers, they would take the same one at once. So each request looks at a
// few servers first, which its prompt and chance give it, and at more only where
// none of those would serve it in good time.
func (m *Machine) place(now time.Duration, p *pool, r *run) (choice, bool) {
	home := m.firstHolder(now, p, r)
	candidates := m.candidates(now, p, r)
	best, found := choice{}, false
	for i := range candidates {
		if found && m.uses(FewCandidates) && i%lookEach == 0 && best.within(r, goodTime+laterTime*float64(i)) {
			break
		}
		if i == lookEach {
			sortRest(candidates)
		}
		c := candidates[i]
		weighed, fits := m.weigh(now, p, c.server, r, home)
		if !fits {
			continue
		}
		if c.server.probation {
			// Without a trial it would never come back: servers that keep
			// parts always cost less.
			weighed.cost -= trialWorth
		}
		if !found || weighed.cost < best.cost {
			best, found = weighed, true
		}
	}
	if !found {
		return m.lastResort(now, p, r)
	}
	return best, true
}

// within tells whether the first event is expected within a part of the
// objective.
func (c choice) within(r *run, part float64) bool {
	return float64(c.estimate) <= part*float64(r.Objective)
}

// open tells whether a request may go to a server now.
func (m *Machine) open(now time.Duration, p *pool, s *server, r *run) bool {
	if !s.takes(now, r.Regions) || now < s.fullUntil || r.wasAt(s.ID) || !m.coldReady(now, p, s) {
		return false
	}
	return !s.probation || (r.MayRepeat && r.attempt+1 < r.Attempts && s.running == 0)
}

// lastResort picks a server that is leaving, where no other that the request may go to is
// known.
func (m *Machine) lastResort(now time.Duration, p *pool, r *run) (choice, bool) {
	var best *server
	for _, s := range p.reachable(r) {
		if !r.Regions.Allows(s.region) {
			continue
		}
		if !s.leaving {
			return choice{}, false
		}
		if s.evacuated || now-s.leavingAt > m.lastResortFor() || now < s.downUntil || s.backsOff(now) {
			continue
		}
		if r.wasAt(s.ID) || s.allRunning() >= s.Slots || !m.coldReady(now, p, s) {
			continue
		}
		if best == nil || s.allRunning() < best.allRunning() {
			best = s
		}
	}
	return choice{server: best}, best != nil
}

// weigh estimates what a request would cost at a server, and tells whether the
// server would serve it in time.
func (m *Machine) weigh(now time.Duration, p *pool, s *server, r *run, home *server) (choice, bool) {
	if p.engine == nil {
		return m.weighPlain(s, r)
	}
	if s.allRunning() >= max(s.Slots, 1) {
		return choice{}, false
	}
	perMS := p.rateOf(s)
	miss := 0
	if s != home {
		miss = m.missing(now, p, s, r)
	}
	wait := float64(s.allPending()) / perMS
	own := float64(r.ownTokens()+miss) / perMS
	first := float64(firstEventBase/time.Millisecond) + wait + own
	objective := float64(r.Objective) / float64(time.Millisecond)
	// A request beyond its team's share goes only where no shared part must be read
	// again. Where no server is known to keep the part, home is assumed to keep it.
	surplus := r.over > 1 && r.attempt == 0 && m.uses(SurplusReads)
	if !fits(r, first/objective, wait/objective, p.objective) || (surplus && miss > 0) {
		return choice{}, false
	}
	late := min(max((first/objective-certainFrom)/(certainTo-certainFrom), 0), 1)
	cost := lateCost*late + missCost*float64(miss) + waitCost*wait + slotCost*float64(s.allRunning())
	cost += m.distance(s)
	if home != nil && s != home {
		cost += spread(r, s, miss)
	}
	return choice{server: s, miss: miss, estimate: milliseconds(first), cost: cost}, true
}

// fits tells whether a server would serve a request in time. first and wait are
// the expected first event and the backlog, in parts of the objective; average is
// the objective of all requests, in milliseconds.
func fits(r *run, first, wait, average float64) bool {
	switch {
	case r.attempt > 0:
		return first <= 1 || wait <= 1
	case r.over > 1:
		return first <= fitWithin && wait*float64(r.Objective) <= overWait*average*float64(time.Millisecond)
	}
	return first <= fitWithin || wait <= waitWithin
}

func (m *Machine) weighPlain(s *server, r *run) (choice, bool) {
	latency := s.latency
	if latency == 0 {
		latency = plainLatencyInit
	}
	slots := max(s.Slots, 1)
	excess := max(s.allRunning()+1-slots, 0)
	first := latency * (1 + float64(excess)/float64(slots))
	objective := float64(r.Objective) / float64(time.Millisecond)
	fits := excess == 0 || (excess <= plainQueue && first <= fitWithin*objective)
	cost := first + latency*float64(s.allRunning())/float64(slots) + m.distance(s) + objective*s.failures
	return choice{server: s, estimate: milliseconds(first), cost: cost}, fits
}

// distance is the cost of a server in another zone or region.
func (m *Machine) distance(s *server) float64 {
	switch {
	case s.Zone == m.options.Zone:
		return 0
	case m.geography.near(s.region):
		return zoneCost
	}
	return regionCost
}

// spread tells apart the servers other than the first that keeps a part: by the
// order of the part's rendezvous weights, so that all routers copy it to the
// same one.
func spread(r *run, s *server, miss int) float64 {
	if miss == 0 {
		return copyCost
	}
	last := r.Parts[len(r.Parts)-2]
	w := rank(last.ID, s)
	return rankCost * missCost * float64(last.Tokens) * (1 - float64(w>>11)/float64(1<<53))
}

// missing returns the tokens of shared parts that a server would have to read.
// A part is of use only where everything before it is kept as well.
func (m *Machine) missing(now time.Duration, p *pool, s *server, r *run) int {
	miss := 0
	for i := len(r.Parts) - 2; i >= 0; i-- {
		if m.holders.has(now, p.keeps, r.Parts[i].ID, s.ID) {
			return miss
		}
		miss += r.Parts[i].Tokens
	}
	return miss
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
