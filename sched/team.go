package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// team is what an agent knows of one team.
type team struct {
	name   fleet.Team
	share  float64
	queues []*queueDemand // by class, then work
	others time.Duration  // service by the rest of the fleet
	lift   time.Duration  // per unit of share
	own    time.Duration  // service by this agent, by the rule of charging
	// reported is the greatest own service ever reported: what is shared only
	// grows, so that it merges by maximum.
	reported      time.Duration
	pending       time.Duration              // estimates of claims not yet started
	peerSlotRatio float64                    // the most that Config.Alike has for one of its works
	samples       [samplesKept]time.Duration // own and pending at the last marks, the oldest first
	running       int
	lastActive    time.Duration // when it last had demand or service
}

// waiting returns how many requests the team is known to have waiting.
func (t *team) waiting() int {
	n := 0
	for _, l := range t.queues {
		n += l.waiting
	}
	return n
}

// virtualService returns the team's virtualService service: slot time per unit of share, as
// far as it is known.
func (t *team) virtualService() time.Duration {
	return t.perShare(t.others+t.own+t.pending) + t.lift
}

// expectedVirtualService returns the virtual service with what the other agents are taken to
// have given meanwhile. Choices go by it; accounts and lifts never do.
func (t *team) expectedVirtualService() time.Duration {
	return t.virtualService() + t.perShare(t.estimatedPeerService())
}

func (t *team) perShare(service time.Duration) time.Duration {
	return time.Duration(float64(service) / t.share)
}

const (
	// peerServiceFraction is the part of the other servers that is taken to act alike.
	peerServiceFraction = 0.8
	// maxPeerRatio bounds the extrapolation in fleets of thousands of servers.
	maxPeerRatio = 16
	// samplesPerShare is how many marks fall into ShareEvery.
	samplesPerShare = 4
	// samplesKept is how many marks the extrapolation reaches back: about as long
	// as service takes to go round the fleet.
	samplesKept = 5
)

// estimatedPeerService returns what the other agents are taken to have given the team
// that the totals do not show yet. They see the same totals and pick the same team, so
// each would overshoot on its own; this agent's own recent service stands for
// theirs until the next totals say what it was.
func (t *team) estimatedPeerService() time.Duration {
	recent := t.own + t.pending - t.samples[0]
	return time.Duration(min(t.peerSlotRatio*peerServiceFraction, maxPeerRatio) * float64(recent))
}

// sample notes the team's service by this agent up to now.
func (t *team) sample() {
	copy(t.samples[:], t.samples[1:])
	t.samples[samplesKept-1] = t.own + t.pending
}

// nextQueue returns the line to serve next: the highest class that waits, and in it
// the line whose request is oldest.
func (t *team) nextQueue() (*queueDemand, *routerDemand) {
	var bestQueue *queueDemand
	var bestRouter *routerDemand
	for _, l := range t.queues {
		if l.waiting == 0 {
			continue
		}
		if bestQueue != nil && l.key.Class > bestQueue.key.Class {
			continue
		}
		s := l.oldest()
		if s == nil {
			continue
		}
		if bestQueue == nil || l.key.Class < bestQueue.key.Class || s.oldest < bestRouter.oldest {
			bestQueue, bestRouter = l, s
		}
	}
	return bestQueue, bestRouter
}

// hasUrgent tells whether an hasUrgent request of the team waits.
func (t *team) hasUrgent() bool {
	for _, l := range t.queues {
		if l.key.Class == fleet.Urgent && l.waiting > 0 {
			return true
		}
	}
	return false
}
