package direct

import (
	"slices"
	"time"
)

// dropUnlisted removes the servers that a newer list no longer contains. If many servers of a
// service disappear at once, their entries have expired while the source was unavailable: they
// have lapsed. Servers that are still alive are listed again within moments, so lapsed servers
// are used a little longer and removed only if they are not listed again.
//
// A server whose name is listed with another start has restarted: its former process has ended.
func (m *Machine) dropUnlisted(now time.Duration, listed, names map[string]bool) {
	for _, name := range m.poolNames() {
		p := m.pools[name]
		unlisted := p.newlyUnlisted(listed)
		unlisted = m.dropRestarted(now, unlisted, names)
		admitted := countAdmitted(unlisted)
		lapsed := m.enabled(LapseGrace) && admitted >= minMassLapse && float64(admitted) >= massLapseFraction*float64(p.countPresent())
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

// dropRestarted removes the servers whose names are listed with another start, and returns the others.
func (m *Machine) dropRestarted(now time.Duration, unlisted []*server, names map[string]bool) []*server {
	return slices.DeleteFunc(unlisted, func(s *server) bool {
		if !names[s.Name()] {
			return false
		}
		s.restarted = true
		m.dropServer(now, s, "listed with another start")
		return true
	})
}

// dropLapsed removes the servers whose entries have lapsed and were not listed again.
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
		m.updateAllAdmitted()
	}
}

// dropRefusing removes a server whose entry has lapsed and whose host refuses connections: its
// process has ended. This doesn't count against the other servers of its hall.
func (m *Machine) dropRefusing(now time.Duration, p *pool, s *server) {
	m.dropServer(now, s, "not listed, and its host refuses connections")
	p.updateAdmitted()
}

// dropServer marks a server as gone, so that it gets no new requests.
func (m *Machine) dropServer(now time.Duration, s *server, cause string) {
	s.gone = true
	s.markLeaving(now)
	if s.lapsedAt > 0 {
		// It has been leaving since it lapsed, so it must not serve as a last resort any
		// longer.
		s.leavingAt, s.lapsedAt = s.lapsedAt, 0
	}
	m.emit(ServerStatusCmd{Server: s.Server, Status: StatusGone, Cause: cause})
}

// newlyUnlisted returns the known servers that are not listed, without those that have lapsed
// already.
func (p *pool) newlyUnlisted(listed map[string]bool) []*server {
	var out []*server
	for _, s := range p.all {
		if !listed[s.ID] && !s.gone && s.lapsedAt == 0 {
			out = append(out, s)
		}
	}
	return out
}

// countAdmitted counts the servers that are not barred.
func countAdmitted(servers []*server) int {
	n := 0
	for _, s := range servers {
		if !s.versionBarred {
			n++
		}
	}
	return n
}

// countPresent counts the admitted servers that are not gone.
func (p *pool) countPresent() int {
	n := 0
	for _, s := range p.admitted {
		if !s.gone {
			n++
		}
	}
	return n
}
