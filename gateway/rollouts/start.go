package rollouts

import "github.com/croftvale/croftvale/rollout"

// start is what a router that starts still lacks to serve every service that has servers:
// a gate lets nothing through before the versions in use are known.
type start struct {
	orders, records, listed bool            // have come
	services                []string        // that have servers
	gated                   map[string]bool // services of which a gate is in force
}

// note takes in that the machine was told something.
func (s *start) note(msg rollout.Msg) {
	switch msg := msg.(type) {
	case rollout.OrdersMsg:
		s.orders = true
	case rollout.RecordsMsg:
		s.records = true
	case rollout.VersionsMsg:
		s.listed = true
		s.services = s.services[:0]
		for service := range msg.Services {
			s.services = append(s.services, service)
		}
	}
}

// gate takes in that a gate is in force.
func (s *start) gate(service string) {
	if s.gated == nil {
		s.gated = make(map[string]bool)
	}
	s.gated[service] = true
}

// complete tells whether nothing is lacking.
func (s *start) complete() bool {
	if !s.orders || !s.records || !s.listed {
		return false
	}
	for _, service := range s.services {
		if !s.gated[service] {
			return false
		}
	}
	return true
}
