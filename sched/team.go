package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// team is what an agent knows of one team.
type team struct {
	name   fleet.Team
	share  float64
	lines  []*line       // by class, then work
	others time.Duration // service by the rest of the fleet
	lift   time.Duration // per unit of share
	own    time.Duration // service by this agent, by the rule of charging
	// reported is the greatest own service ever reported: what is shared only
	// grows, so that it merges by maximum.
	reported time.Duration
	pending  time.Duration            // estimates of claims not yet started
	alike    float64                  // the most that Config.Alike has for one of its works
	marks    [marksKept]time.Duration // own and pending at the last marks, the oldest first
	running  int
	active   time.Duration // when it last had demand or service
}

// waiting returns how many requests the team is known to have waiting.
func (t *team) waiting() int {
	n := 0
	for _, l := range t.lines {
		n += l.waiting
	}
	return n
}

// virtual returns the team's virtual service: slot time per unit of share, as
// far as it is known.
func (t *team) virtual() time.Duration {
	return t.perShare(t.others+t.own+t.pending) + t.lift
}

// expected returns the virtual service with what the other agents are taken to
// have given meanwhile. Choices go by it; accounts and lifts never do.
func (t *team) expected() time.Duration {
	return t.virtual() + t.perShare(t.mirrored())
}

func (t *team) perShare(service time.Duration) time.Duration {
	return time.Duration(float64(service) / t.share)
}

const (
	// mirrorPart is the part of the other servers that is taken to act alike.
	mirrorPart = 0.8
	// maxMirror bounds the extrapolation in fleets of thousands of servers.
	maxMirror = 16
	// marksPerShare is how many marks fall into ShareEvery.
	marksPerShare = 4
	// marksKept is how many marks the extrapolation reaches back: about as long
	// as service takes to go round the fleet.
	marksKept = 5
)

// mirrored returns what the other agents are taken to have given the team
// that the totals do not show yet. They see the same totals and pick the same team, so
// each would overshoot on its own; this agent's own recent service stands for
// theirs until the next totals say what it was.
func (t *team) mirrored() time.Duration {
	recent := t.own + t.pending - t.marks[0]
	return time.Duration(min(t.alike*mirrorPart, maxMirror) * float64(recent))
}

// mark notes the team's service by this agent up to now.
func (t *team) mark() {
	copy(t.marks[:], t.marks[1:])
	t.marks[marksKept-1] = t.own + t.pending
}

// best returns the line to serve next: the highest class that waits, and in it
// the line whose request is oldest.
func (t *team) best() (*line, *source) {
	var bestLine *line
	var bestSource *source
	for _, l := range t.lines {
		if l.waiting == 0 {
			continue
		}
		if bestLine != nil && l.key.Class > bestLine.key.Class {
			continue
		}
		s := l.oldest()
		if s == nil {
			continue
		}
		if bestLine == nil || l.key.Class < bestLine.key.Class || s.oldest < bestSource.oldest {
			bestLine, bestSource = l, s
		}
	}
	return bestLine, bestSource
}

// urgent tells whether an urgent request of the team waits.
func (t *team) urgent() bool {
	for _, l := range t.lines {
		if l.key.Class == fleet.Urgent && l.waiting > 0 {
			return true
		}
	}
	return false
}
