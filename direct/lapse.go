package direct

import "time"

// dropUnlisted takes out the servers that a newer list does not hold. Where many
// of a service go at once, it is their entries that lapsed while the source was
// away: those that live are back within moments, so they are used a little
// longer, and taken for gone if they are not.
func (m *Machine) dropUnlisted(now time.Duration, listed map[string]bool) {
	for _, name := range m.poolNames() {
		p := m.pools[name]
		unlisted := p.newlyUnlisted(listed)
		eligible := countEligible(unlisted)
		lapsed := m.enabled(LapseGrace) && eligible >= minMassLapse && float64(eligible) >= massLapseFraction*float64(p.countPresent())
		for _, s := range unlisted {
			switch {
			case !lapsed || s.Draining || s.versionBarred:
				m.dropServer(now, s, "not listed")
			case s.lapsedAt == 0:
				s.lapsedAt = now
				m.emit(ServerStatusCmd{Server: s.Server, Status: StatusLapsed, Cause: "not listed, with many others", For: m.lapseDuration()})
			}
		}
	}
}

// dropLapsed takes out the servers whose entries have not come back.
func (m *Machine) dropLapsed(now time.Duration) {
	dropped := false
	for _, name := range m.poolNames() {
		for _, s := range m.pools[name].all {
			if s.lapsedAt > 0 && now-s.lapsedAt >= m.lapseDuration() {
				m.dropServer(now, s, "not listed again")
				dropped = true
			}
		}
	}
	if dropped {
		m.updateAllEligible()
	}
}

// dropEnded takes out a server whose entry lapsed and whose host refuses connections: it has
// ended. That says nothing of the other servers of its hall.
func (m *Machine) dropRefusing(now time.Duration, p *pool, s *server) {
	m.dropServer(now, s, "not listed, and its host refuses connections")
	p.updateEligible()
}

func (m *Machine) dropServer(now time.Duration, s *server, cause string) {
	s.gone = true
	s.markLeaving(now)
	if s.lapsedAt > 0 {
		// It has been leaving since then: it is no last resort for longer.
		s.leavingAt, s.lapsedAt = s.lapsedAt, 0
	}
	m.emit(ServerStatusCmd{Server: s.Server, Status: StatusGone, Cause: cause})
}

// unlisted returns the servers that are known and not listed, but for those that
// have lapsed already.
func (p *pool) newlyUnlisted(listed map[string]bool) []*server {
	var out []*server
	for _, s := range p.all {
		if !listed[s.ID] && !s.gone && s.lapsedAt == 0 {
			out = append(out, s)
		}
	}
	return out
}

// serving counts the servers of a list that may get requests.
func countEligible(servers []*server) int {
	n := 0
	for _, s := range servers {
		if !s.versionBarred {
			n++
		}
	}
	return n
}

// present counts the servers that are not gone.
func (p *pool) countPresent() int {
	n := 0
	for _, s := range p.admitted {
		if !s.gone {
			n++
		}
	}
	return n
}
