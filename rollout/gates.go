package rollout

import "slices"

const (
	// trialFraction is the fraction of the exposure bound that the trial may use. The rest is
	// for requests in flight when the version is found to be bad, and for the ramp.
	trialFraction = 0.5
	// passedTrialFraction is the fraction of the exposure bound that a version gets after it has
	// passed the trial, until the ramp: enough to detect that it turns bad. The rest is reserved
	// for a version that turns bad later.
	passedTrialFraction = 0.25
	// rampSlack lets a router send slightly more than the ramp's fraction, by count: prompts do
	// not divide evenly.
	rampSlack = 1.2
	// quarterFraction and halfFraction are the fractions of the requests in stages Quarter and Half.
	quarterFraction = 0.25
	halfFraction    = 0.5
)

// gate returns the gate for the service's present state.
func (s *service) gate(share float64) Gate {
	g := Gate{Service: s.name, InUse: s.inUse}
	if s.rollout == nil || s.inUse == nil {
		return g
	}
	r := s.rollout
	if r.trusted && r.appliedStage() == Waiting {
		// The target's servers already take requests, and there may be no others.
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
	}
	return g
}

func gatesEqual(a, b Gate) bool {
	inUse := slices.Equal(a.InUse, b.InUse) && (a.InUse == nil) == (b.InUse == nil)
	return inUse && a.Target == b.Target && a.Fraction == b.Fraction && a.Limit == b.Limit &&
		a.ServerFraction == b.ServerFraction && a.OldClosed == b.OldClosed
}

// awaitsServerList reports whether a gate must not be applied before a newer server list has
// arrived: no rollout is running, no listed server has a version that the gate admits, and the
// applied gate admits some. This happens to a router that was partitioned if it learns that an
// order is completed before it learns of the new servers.
func (s *service) awaitsServerList(g Gate) bool {
	if g.Target != "" || slices.ContainsFunc(g.InUse, s.hasServers) {
		return false
	}
	return slices.ContainsFunc(s.appliedGate.InUse, func(version string) bool {
		return s.hasServers(version) && !slices.Contains(s.rejected, version)
	})
}

func (s *service) hasServers(version string) bool { return slices.Contains(s.versions, version) }
