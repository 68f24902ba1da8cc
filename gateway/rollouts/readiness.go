package rollouts

import "github.com/croftvale/croftvale/rollout"

// readiness is how far a router that starts is from serving every service that has servers:
// a gate lets nothing through before the versions in use are known.
type readiness struct {
	orders, records, versions bool            // the machine has been told of them
	services                  []string        // that have servers
	gated                     map[string]bool // services of which a gate is in force
}

// observe takes in that the machine was told something.
func (s *readiness) observe(msg rollout.Msg) {
	switch msg := msg.(type) {
	case rollout.OrdersMsg:
		s.orders = true
	case rollout.RecordsMsg:
		s.records = true
	case rollout.VersionsMsg:
		s.versions = true
		s.services = s.services[:0]
		for service := range msg.Services {
			s.services = append(s.services, service)
		}
	}
}

// recordGate takes in that a gate is in force.
func (s *readiness) recordGate(service string) {
	if s.gated == nil {
		s.gated = make(map[string]bool)
	}
	s.gated[service] = true
}

// complete tells whether every service that has servers can be served.
func (s *readiness) complete() bool {
	if !s.orders || !s.records || !s.versions {
		return false
	}
	for _, service := range s.services {
		if !s.gated[service] {
			return false
		}
	}
	return true
}
