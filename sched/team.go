package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// team holds an agent's account of one team.
type team struct {
	name   fleet.Team
	share  float64
	queues []*queueDemand // ordered by class, then work
	others time.Duration  // service given by the rest of the fleet
	lift   time.Duration  // added to the virtual service, in slot time per unit of share
	own    time.Duration  // service charged at this agent
	// reported is the largest own service ever reported. Settling may lower
	// own, but reported counters only grow so that they merge by maximum.
	reported      time.Duration
	pending       time.Duration              // estimated cost of claims that have not started
	peerSlotRatio float64                    // largest Config.PeerSlotRatio of its works
	samples       [samplesKept]time.Duration // own plus pending service, oldest first
	running       int
	lastActive    time.Duration // when the team last had demand or service
}

// waiting returns the number of known claimable requests of the team.
func (t *team) waiting() int {
	n := 0
	for _, q := range t.queues {
		n += q.waiting
	}
	return n
}

// virtualService returns the team's known virtual service, in slot time per unit
// of share.
func (t *team) virtualService() time.Duration {
	return t.perShare(t.others+t.own+t.pending) + t.lift
}

// expectedVirtualService returns the virtual service plus the estimated service
// that other agents have given and not yet reported. It ranks the teams.
// Accounts and lifts never include the estimate.
func (t *team) expectedVirtualService() time.Duration {
	return t.virtualService() + t.perShare(t.estimatedPeerService())
}

func (t *team) perShare(service time.Duration) time.Duration {
	return time.Duration(float64(service) / t.share)
}

const (
	// peerServiceFraction is the fraction of the other servers assumed to serve
	// the team in the same way as this one.
	peerServiceFraction = 0.8
	// maxPeerRatio limits the extrapolation in fleets of thousands of servers.
	maxPeerRatio = 16
	// samplesPerShare is the number of samples taken per ShareEvery.
	samplesPerShare = 4
	// samplesKept is the number of samples that the extrapolation looks back. It
	// covers about the time in which a service report reaches the whole fleet.
	samplesKept = 5
)

// estimatedPeerService estimates the service that other agents have given the
// team and that is not yet in the totals. All agents see the same totals, so
// without the estimate they would all pick the same team and together give it
// too much. The estimate is this agent's own recent service, scaled by the peer
// ratio. The next totals replace it.
func (t *team) estimatedPeerService() time.Duration {
	recent := t.own + t.pending - t.samples[0]
	return time.Duration(min(t.peerSlotRatio*peerServiceFraction, maxPeerRatio) * float64(recent))
}

// sample records the team's current own and pending service and discards the
// oldest sample.
func (t *team) sample() {
	copy(t.samples[:], t.samples[1:])
	t.samples[samplesKept-1] = t.own + t.pending
}

// nextQueue returns the queue to serve next and the router to claim from: the
// queue of the highest waiting class whose request has waited longest.
func (t *team) nextQueue() (*queueDemand, *routerDemand) {
	var bestQueue *queueDemand
	var bestRouter *routerDemand
	for _, q := range t.queues {
		if q.waiting == 0 {
			continue
		}
		if bestQueue != nil && q.key.Class > bestQueue.key.Class {
			continue
		}
		d := q.oldest()
		if d == nil {
			continue
		}
		if bestQueue == nil || q.key.Class < bestQueue.key.Class || d.oldest < bestRouter.oldest {
			bestQueue, bestRouter = q, d
		}
	}
	return bestQueue, bestRouter
}

// hasUrgent reports whether an urgent request of the team is waiting.
func (t *team) hasUrgent() bool {
	for _, q := range t.queues {
		if q.key.Class == fleet.Urgent && q.waiting > 0 {
			return true
		}
	}
	return false
}
