package rollout

import "time"

// Snapshot is a router's view of the versions and the rollout of a service, for state dumps.
// Without a running rollout, Target and the fields after it are empty, except Leads and
// WaitsFor.
type Snapshot struct {
	Service     string
	InUse       []string
	Rejected    []string // versions that were rolled back
	Target      string
	Stage       Stage
	Part        float64 // fraction of the requests that goes to the target
	Age, Within time.Duration
	Leads       bool
	Routers     int // routers whose reports are merged, including this one
	Verdict     Verdict
	Stopped     bool   // this router sends nothing to the target
	Rejecting   bool   // a leader has rejected the target
	Cause       string // cause of the rejection
	Routes      []RouteEvidence
	WaitsFor    Wait
}

// RouteEvidence counts the outcomes of one route's responses, of both phases.
type RouteEvidence struct {
	Route    string
	New, Old Tally
}

// Snapshots returns the state of all services, for dumps.
func (m *Machine) Snapshots() []Snapshot {
	var list []Snapshot
	for _, s := range m.sortedServices() {
		list = append(list, m.snapshot(s))
	}
	return list
}

func (m *Machine) snapshot(s *service) Snapshot {
	snap := Snapshot{
		Service:  s.name,
		InUse:    s.inUse,
		Rejected: s.rejected,
		Leads:    m.leads,
		WaitsFor: m.waitsFor(s),
	}
	r := s.rollout
	if r == nil {
		return snap
	}
	snap.Target, snap.Stage, snap.Part = r.order.Target, r.stage, s.gate(m.bounds.Share).Fraction
	snap.Age, snap.Within = r.age, r.order.Within
	snap.Routers = r.routerCount()
	snap.Verdict, snap.Stopped = r.judge.Verdict(), r.stopped()
	snap.Rejecting, snap.Cause = r.rejected, r.cause
	snap.Routes = r.all.routes()
	return snap
}

// routes returns the evidence summed by route.
func (c cells) routes() []RouteEvidence {
	var list []RouteEvidence
	for _, k := range c.sortedKeys() {
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
