package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/loads"
)

// list takes in a newer list of servers.
func (m *Machine) applyDirectory(msg ServersMsg) {
	if msg.Directory.Revision < m.serversRevision {
		return
	}
	m.serversRevision = msg.Directory.Revision
	listed := make(map[string]bool, len(msg.Directory.Servers))
	changed := make(map[*pool]bool)
	for _, s := range msg.Directory.Servers {
		listed[s.ID] = true
		if m.applyListed(msg.Now, s) {
			changed[m.pool(s.Service)] = true
		}
	}
	m.dropUnlisted(msg.Now, listed)
	for _, name := range m.poolNames() {
		p := m.pools[name]
		if changed[p] {
			p.refreshServers()
		} else {
			p.updateEligible()
		}
		if service, ok := m.services[name]; ok {
			p.configure(&service, m.limits)
		}
		m.serveQueue(msg.Now, p, maxQueued)
	}
}

// note takes in one listed server; it returns whether it is new.
func (m *Machine) applyListed(now time.Duration, listed Server) bool {
	s := m.byServer[listed.ID]
	if s == nil {
		s = &server{Server: listed, loadKey: loads.ServerKey(listed.ID), idHash: xxhash.Sum64String(listed.ID), listedAt: now}
		m.byServer[listed.ID] = s
		m.byKey[s.loadKey] = s
		s.region = m.hallRegions.regionOf(listed.Zone)
		m.pool(listed.Service).servers[listed.ID] = s
		m.restoreNotices(s)
		if listed.Draining {
			s.markLeaving(now)
		}
		s.evacuated = m.evacuated[listed.Zone]
		s.hallUnreachable = m.reachOf(listed.Zone).lost
		m.markCold(now, s, listed.ColdFor, "listed as cold")
		m.emit(ServerStatusCmd{Server: listed, Status: StatusListed, Cause: "listed"})
		return true
	}
	s.lapsedAt = 0
	wasDraining := s.Draining
	s.Server = listed
	s.region = m.hallRegions.regionOf(listed.Zone)
	s.gone = false
	s.evacuated = m.evacuated[listed.Zone]
	m.markCold(now, s, listed.ColdFor, "listed as cold")
	switch {
	case listed.Draining && !wasDraining:
		s.markLeaving(now)
		m.emit(ServerStatusCmd{Server: listed, Status: StatusDraining, Cause: "listed as draining"})
	case !listed.Draining && s.leaving && !s.notices.leaving: // its own word outlasts the list's
		s.leaving = false
		s.listedAt = now
		m.emit(ServerStatusCmd{Server: listed, Status: StatusListed, Cause: "listed again"})
	}
	return false
}

func (s *server) markLeaving(now time.Duration) {
	if !s.leaving {
		s.leaving = true
		s.leavingAt = now
	}
}

// forgetGone drops servers that left long ago.
func (m *Machine) forgetGone(now time.Duration, p *pool) {
	dropped := false
	for id, s := range p.servers {
		if s.gone && s.running == 0 && now-s.leavingAt > goneRetention {
			m.oldNotices.add(now, s)
			delete(p.servers, id)
			delete(m.byServer, id)
			delete(m.byKey, s.loadKey)
			dropped = true
		}
	}
	if dropped {
		p.refreshServers()
	}
}
