package direct

// markSoleServers marks the available servers that are alone in their version, if another version
// has several. During a rollout the gate alone decides on versions.
func (p *pool) markSoleServers() {
	rolling := p.gate != nil && p.gate.Target != ""
	counts := make(map[string]int)
	for _, s := range p.admitted {
		if s.available() {
			counts[s.Version]++
		}
	}
	severalSomewhere := false
	for _, n := range counts {
		severalSomewhere = severalSomewhere || n > 1
	}
	for _, s := range p.all {
		s.soleOfVersion = !rolling && severalSomewhere && s.available() && counts[s.Version] == 1
	}
}
