package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/loads"
)

// applyDirectory applies a newer list of servers.
func (m *Machine) applyDirectory(msg ServersMsg) {
	if msg.Directory.Revision < m.serversRevision {
		return
	}
	m.serversRevision = msg.Directory.Revision
	listed := make(map[string]bool, len(msg.Directory.Servers))
	names := make(map[string]bool, len(msg.Directory.Servers))
	changed := make(map[*pool]bool)
	for _, s := range msg.Directory.Servers {
		listed[s.ID], names[s.Name()] = true, true
		if m.applyListed(msg.Now, s) {
			changed[m.pool(s.Service)] = true
		}
	}
	m.dropUnlisted(msg.Now, listed, names)
	for _, name := range m.poolNames() {
		p := m.pools[name]
		if changed[p] {
			p.refreshServers()
		} else {
			p.updateAdmitted()
		}
		if service, ok := m.services[name]; ok {
			p.configure(&service, m.limits)
		}
		m.serveQueue(msg.Now, p, maxQueued)
	}
}

// applyListed adds or updates one listed server and reports whether it is new.
func (m *Machine) applyListed(now time.Duration, listed Server) bool {
	s := m.byServer[listed.ID]
	if s != nil && s.Service != listed.Service {
		m.dropMoved(now, s)
		s = nil
	}
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
	s.gone, s.restarted = false, false
	s.evacuated = m.evacuated[listed.Zone]
	m.markCold(now, s, listed.ColdFor, "listed as cold")
	switch {
	case listed.Draining && !wasDraining:
		s.markLeaving(now)
		m.emit(ServerStatusCmd{Server: listed, Status: StatusDraining, Cause: "listed as draining"})
	case !listed.Draining && s.leaving && !s.notices.leaving: // the server's own notice overrules the list
		s.leaving = false
		s.listedAt = now
		m.emit(ServerStatusCmd{Server: listed, Status: StatusListed, Cause: "listed again"})
	}
	return false
}

// dropMoved removes a server whose entry names another service now. What is known of it was learnt about
// the old service, except for its own notices. Its attempts end as those of a server that is gone.
func (m *Machine) dropMoved(now time.Duration, s *server) {
	m.dropServer(now, s, "listed for another service")
	m.forgottenNotices.add(now, s)
	p := m.pool(s.Service)
	delete(p.servers, s.ID)
	p.refreshServers()
}

func (s *server) markLeaving(now time.Duration) {
	if !s.leaving {
		s.leaving = true
		s.leavingAt = now
	}
}

// forgetGone removes the servers that have been gone for more than goneRetention.
func (m *Machine) forgetGone(now time.Duration, p *pool) {
	dropped := false
	for id, s := range p.servers {
		if s.gone && s.running == 0 && now-s.leavingAt > goneRetention {
			m.forgottenNotices.add(now, s)
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
