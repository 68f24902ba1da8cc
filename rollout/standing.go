package rollout

import (
	"slices"
	"time"
)

// Standing is what a router knows of the versions and the roll-out of a service, for
// operators' dumps.
type Standing struct {
	Service     string
	InUse       []string
	Rejected    []string
	Target      string // empty: no roll-out is under way
	Stage       Stage
	Part        float64
	Age, Within time.Duration
	Leads       bool
	Routers     int
	Verdict     Verdict
	Stopped     bool
	Rejecting   bool
	Cause       string // of the rejection
	Routes      []RouteEvidence
	WaitsFor    Wait
}

// RouteEvidence counts how answers of one route began and went on.
type RouteEvidence struct {
	Route    string
	New, Old Tally
}

// Wait says what a roll-out waits for.
type Wait uint8

// What a roll-out can wait for.
const (
	WaitNothing  Wait = iota
	WaitKnown         // for orders and records from the store
	WaitVersions      // for a first list of servers
	WaitServers       // for servers of the target
	WaitHold          // for others, or some seconds, after this router stopped by itself
	WaitEvidence      // for more answers of the target
	WaitTime          // for the time of the next step
	WaitRouters       // for the last stage at all routers
	WaitOld           // for requests at old servers
	WaitStatus        // for the final status in the store
	WaitOrder         // for an order: servers are there, and none of a version in use
)

// String names what is waited for.
func (w Wait) String() string {
	return [...]string{"nothing", "store", "versions", "servers", "hold", "evidence", "time",
		"routers", "old_servers", "status", "order"}[w]
}

// Standings returns the state of all services, for dumps.
func (m *Machine) Standings() []Standing {
	var list []Standing
	for _, s := range m.sorted() {
		list = append(list, m.standing(s))
	}
	return list
}

func (m *Machine) standing(s *service) Standing {
	st := Standing{
		Service:  s.name,
		InUse:    s.inUse,
		Rejected: s.rejected,
		Leads:    m.leads,
		WaitsFor: m.waitsFor(s),
	}
	r := s.roll
	if r == nil {
		return st
	}
	st.Target, st.Stage, st.Part = r.order.Target, r.stage, s.gate(m.opt.Share).Part
	st.Age, st.Within = r.age, r.order.Within
	st.Routers = 1 + int(r.others.Routers)
	st.Verdict, st.Stopped = r.judge.Verdict(), r.stopped()
	st.Rejecting, st.Cause = r.rejected, r.cause
	st.Routes = r.all.routes()
	return st
}

func (m *Machine) waitsFor(s *service) Wait {
	r := s.roll
	switch {
	case !m.orders || !m.records:
		return WaitKnown
	case s.inUse == nil || !m.listed:
		return WaitVersions
	case r == nil && len(s.versions) > 0 && !slices.ContainsFunc(s.inUse, s.lists):
		return WaitOrder
	case r == nil:
		return WaitNothing
	case r.rejected || r.confirmed:
		return WaitStatus
	case r.hold.on:
		return WaitHold
	case !r.serversThere:
		return WaitServers
	case r.stage == All && !r.everywhere():
		return WaitRouters
	case r.stage == All:
		return WaitOld
	case r.stage >= Trial && r.age >= r.plan.due(r.stage+1):
		return WaitEvidence
	}
	return WaitTime
}

// routes adds up evidence by route.
func (c cells) routes() []RouteEvidence {
	var list []RouteEvidence
	for _, k := range c.keys() {
		if len(list) == 0 || list[len(list)-1].Route != k.Route {
			list = append(list, RouteEvidence{Route: k.Route})
		}
		e := &list[len(list)-1]
		if k.Target {
			e.New = e.New.plus(c[k])
		} else {
			e.Old = e.Old.plus(c[k])
		}
	}
	return list
}
