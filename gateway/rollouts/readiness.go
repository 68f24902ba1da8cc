package rollouts

import "github.com/croftvale/croftvale/rollout"

// readiness tracks whether a starting router can serve every service that has servers. A gate
// lets no request through until the versions in use are known.
type readiness struct {
	orders, records, versions bool            // the machine has received them
	services                  []string        // services that have servers
	gated                     map[string]bool // services with a gate applied
}

// observe records a message that the machine has received.
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

// recordGate records that a gate of the service is applied.
func (s *readiness) recordGate(service string) {
	if s.gated == nil {
		s.gated = make(map[string]bool)
	}
	s.gated[service] = true
}

// complete reports whether every service that has servers can be served.
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
