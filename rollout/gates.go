package rollout

import "slices"

const (
	// trialPart of the bound on exposure is what the trial may use. The rest is for requests
	// that are on their way when the version is found to be bad, and for the ramp.
	trialFraction = 0.5
	// watchPart of the bound is what a version goes on with that the evidence says is good, until
	// the ramp: enough to see it turn bad, and the rest is left for one that does so later.
	passedTrialFraction = 0.25
	// rampSlack lets a router send a little more than the ramp's part, by count: prompts
	// do not divide evenly.
	rampSlack = 1.2
	// quarterPart and halfPart are the parts of the requests in the stages of these names.
	quarterFraction = 0.25
	halfFraction    = 0.5
)

// gate returns the gate that the state of a service asks for.
func (s *service) gate(share float64) Gate {
	g := Gate{Service: s.name, InUse: s.inUse}
	if s.rollout == nil || s.inUse == nil {
		return g
	}
	r := s.rollout
	if r.trusted && r.appliedStage() == Waiting {
		// Its servers take requests already, and there may be no others.
		return g
	}
	g.Target = r.order.Target
	switch r.appliedStage() {
	case Waiting:
	case Trial:
		g.Fraction = share * trialFraction
		g.Limit = share * trialFraction
		g.ServerFraction = share * trialFraction
		if r.trialPassed {
			g.Fraction = share * passedTrialFraction
		}
	case Quarter:
		g.Fraction, g.Limit, g.ServerFraction = quarterFraction, quarterFraction*rampSlack, quarterFraction
	case Half:
		g.Fraction, g.Limit, g.ServerFraction = halfFraction, halfFraction*rampSlack, halfFraction
	case All:
		g.Fraction, g.Limit, g.ServerFraction = 1, 1, 1
		g.OldClosed = true
		g.MoveStreams = r.age >= r.plan.moveAt
	}
	return g
}

func gatesEqual(a, b Gate) bool {
	inUse := slices.Equal(a.InUse, b.InUse) && (a.InUse == nil) == (b.InUse == nil)
	return inUse && a.Target == b.Target && a.Fraction == b.Fraction && a.Limit == b.Limit &&
		a.ServerFraction == b.ServerFraction && a.OldClosed == b.OldClosed && a.MoveStreams == b.MoveStreams
}

// awaitsList tells whether a gate must not be put in force before a newer list of servers
// has come: no roll-out is under way, no listed server has a version that the gate lets
// through, and the gate in force lets some through. A router that was out of touch gets
// there when it hears that an order is completed before it hears of the new servers.
func (s *service) awaitsServerList(g Gate) bool {
	if g.Target != "" || slices.ContainsFunc(g.InUse, s.hasServers) {
		return false
	}
	return slices.ContainsFunc(s.appliedGate.InUse, func(version string) bool {
		return s.hasServers(version) && !slices.Contains(s.rejected, version)
	})
}

func (s *service) hasServers(version string) bool { return slices.Contains(s.versions, version) }
