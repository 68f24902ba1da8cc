package direct

// OldRunning returns how many requests of a service this router runs at servers of versions
// other than the target version, or 0 without a rollout.
func (m *Machine) OldRunning(service string) int {
	p := m.pools[service]
	if p == nil || p.gate == nil || p.gate.Target == "" {
		return 0
	}
	running := 0
	for _, s := range p.all {
		if !s.target {
			running += s.running
		}
	}
	return running
}

// RequestCounts returns, for each service with a rollout, the number of requests that have
// arrived at this router since its target version was set, whether or not they could be sent,
// plus the number of retries.
func (m *Machine) RequestCounts() map[string]int {
	out := make(map[string]int)
	for name, p := range m.pools {
		if p.gate != nil && p.gate.Target != "" {
			out[name] = p.gate.exposure.requests
		}
	}
	return out
}

// AllOldRunning returns OldRunning of each service with a rollout.
func (m *Machine) AllOldRunning() map[string]int {
	out := make(map[string]int)
	for name, p := range m.pools {
		if p.gate != nil && p.gate.Target != "" {
			out[name] = m.OldRunning(name)
		}
	}
	return out
}
