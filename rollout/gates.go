package rollout

import "slices"

const (
	// trialPart of the bound on exposure is what the trial may use; the rest is for what
	// is on its way when the version turns out bad, and for the ramp.
	trialPart = 0.5
	// rampSlack lets a router send a little more than the ramp's part, by count: prompts
	// do not divide evenly.
	rampSlack   = 1.2
	quarterPart = 0.25
	halfPart    = 0.5
)

// gate is what has to be in force for a service.
func (s *service) gate(share float64) Gate {
	g := Gate{Service: s.name, InUse: s.inUse}
	if s.roll == nil || s.inUse == nil {
		return g
	}
	r := s.roll
	if r.trusted && r.inForce() == Waiting {
		// Its servers take requests already, and there may be no others.
		return g
	}
	g.Target = r.order.Target
	switch r.inForce() {
	case Waiting:
	case Trial:
		g.Part = share * trialPart
		g.Limit = share * trialPart
		g.Servers = g.Part
	case Quarter:
		g.Part, g.Limit, g.Servers = quarterPart, quarterPart*rampSlack, quarterPart
	case Half:
		g.Part, g.Limit, g.Servers = halfPart, halfPart*rampSlack, halfPart
	case All:
		g.Part, g.Limit, g.Servers = 1, 1, 1
		g.OldClosed = true
		g.Move = r.age >= r.plan.move
	}
	return g
}

func sameGate(a, b Gate) bool {
	inUse := slices.Equal(a.InUse, b.InUse) && (a.InUse == nil) == (b.InUse == nil)
	return inUse && a.Target == b.Target && a.Part == b.Part && a.Limit == b.Limit &&
		a.Servers == b.Servers && a.OldClosed == b.OldClosed && a.Move == b.Move
}

// early tells whether a gate has to wait for a list of servers: beside a roll-out it lets
// none through that is listed, where the one in force does. So it is at a router that was
// out of touch and hears that an order is completed before it hears of the new servers.
func (s *service) early(g Gate) bool {
	if g.Target != "" || slices.ContainsFunc(g.InUse, s.lists) {
		return false
	}
	return slices.ContainsFunc(s.inForce.InUse, func(version string) bool {
		return s.lists(version) && !slices.Contains(s.rejected, version)
	})
}

func (s *service) lists(version string) bool { return slices.Contains(s.versions, version) }
