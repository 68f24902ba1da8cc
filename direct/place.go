package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fitWithin is the part of the objective that the expected first event may
	// take; waitWithin the part that the server's backlog may take, for prompts
	// so long that they cannot meet their objective anywhere.
	fitWithin  = 0.85
	waitWithin = 0.4
	// overFit and overWait hold for teams above their share.
	overFit  = 0.5
	overWait = 0.15
	// lateFrom is the part of the objective from which a longer wait costs.
	lateFrom = 0.65
	lateCost = 4.0
	waitCost = 0.3
	missCost = 6.0
	slotCost = 0.5 // milliseconds for each request that runs there
	zoneCost = 4.0 // milliseconds for a server of another zone
	rankCost = 1.5 // milliseconds for each place down the order of a part's homes
	maxRanks = 4   // places down the order that are told apart
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

// place picks the server with the least cost among those that would serve the
// request in time, or returns false.
func (m *Machine) place(now time.Duration, p *pool, r *run) (choice, bool) {
	best, found := choice{}, false
	home, ranked := m.homes(now, p, r)
	for _, s := range p.order {
		if !m.open(now, s, r) {
			continue
		}
		c, fits := m.weigh(now, p, s, r, ranked && home == s)
		if !fits {
			continue
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	if !found {
		return m.lastResort(now, p, r)
	}
	return best, true
}

// open tells whether a request may go to a server now.
func (m *Machine) open(now time.Duration, s *server, r *run) bool {
	if !s.usable(now) || now < s.fullUntil || r.wasAt(s.ID) {
		return false
	}
	return !s.probation || (r.MayRepeat && s.running == 0)
}

// lastResort picks a server that is leaving, where no other is known.
func (m *Machine) lastResort(now time.Duration, p *pool, r *run) (choice, bool) {
	var best *server
	for _, s := range p.order {
		if !s.leaving {
			return choice{}, false
		}
		if now-s.leavingAt > lastResortTime || now < s.downUntil || r.wasAt(s.ID) || s.allRunning() >= s.Slots {
			continue
		}
		if best == nil || s.allRunning() < best.allRunning() {
			best = s
		}
	}
	return choice{server: best}, best != nil
}

// homes returns the server that ranks first for the request's last shared part
// while no server is known to keep it.
func (m *Machine) homes(now time.Duration, p *pool, r *run) (*server, bool) {
	if len(r.Parts) < 2 {
		return nil, false
	}
	part := r.Parts[len(r.Parts)-2].ID
	if m.holders.anyOf(now, part, p.servers) {
		return nil, false
	}
	var home *server
	var top uint64
	for _, s := range p.order {
		if !s.usable(now) || s.probation {
			continue
		}
		if w := rank(part, s.ID); home == nil || w > top {
			home, top = s, w
		}
	}
	return home, home != nil
}

// rank is the rendezvous weight of a server for a part.
func rank(part uint64, id string) uint64 {
	x := xxhash.Sum64String(id) ^ part
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// weigh estimates what a request would cost at a server, and tells whether the
// server would serve it in time.
func (m *Machine) weigh(now time.Duration, p *pool, s *server, r *run, home bool) (choice, bool) {
	if p.engine == nil {
		return m.weighPlain(s, r)
	}
	if s.allRunning() >= max(s.Slots, 1) {
		return choice{}, false
	}
	perMS := p.rateOf(s)
	miss := m.missing(now, s, r)
	if home {
		miss = 0
	}
	wait := float64(s.allPending()) / perMS
	own := float64(r.PromptTokens+miss) / perMS
	first := float64(firstEventBase/time.Millisecond) + wait + own
	objective := float64(r.Objective) / float64(time.Millisecond)
	fit, waits := fitWithin, waitWithin
	if r.overShare {
		fit, waits = overFit, overWait
	}
	if r.attempt > 0 {
		fit, waits = 1, 1
	}
	if first > fit*objective && wait > waits*objective {
		return choice{}, false
	}
	cost := waitCost*wait + missCost*float64(miss)/perMS + slotCost*float64(s.allRunning())
	cost += lateCost * max(first-lateFrom*objective, 0)
	cost += m.distance(s)
	cost += spread(r, s)
	return choice{server: s, miss: miss, estimate: milliseconds(first), cost: cost}, true
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

// distance is the cost of a server in another zone.
func (m *Machine) distance(s *server) float64 {
	if s.Zone == m.options.Zone {
		return 0
	}
	return zoneCost
}

// spread tells servers of like cost apart by the order of the part's homes, so
// that all routers try them in the same order.
func spread(r *run, s *server) float64 {
	if len(r.Parts) < 2 {
		return 0
	}
	w := rank(r.Parts[len(r.Parts)-2].ID, s.ID)
	return rankCost * maxRanks * (1 - float64(w>>11)/float64(1<<53))
}

// missing returns the tokens of shared parts that a server would have to read.
// A part is of use only where everything before it is kept as well.
func (m *Machine) missing(now time.Duration, s *server, r *run) int {
	miss := 0
	for i := len(r.Parts) - 2; i >= 0; i-- {
		if m.holders.has(now, r.Parts[i].ID, s.ID) {
			return miss
		}
		miss += r.Parts[i].Tokens
	}
	return miss
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
