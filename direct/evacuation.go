package direct

import (
	"maps"
	"slices"
	"time"
)

// evacuate puts a newer set of evacuated data halls in force. Servers of an evacuated
// hall get no new requests; what runs there is left to run. The routers of the hall go
// on: only its servers are out of use.
func (m *Machine) applyEvacuations(msg EvacuationsMsg) {
	if msg.Evacuations.Revision < m.evacuationsRevision {
		return
	}
	m.evacuationsRevision = msg.Evacuations.Revision
	halls := make(map[string]bool, len(msg.Evacuations.Halls))
	for _, hall := range msg.Evacuations.Halls {
		halls[hall] = true
	}
	previous := m.evacuated
	m.evacuated = halls
	m.emitHallChanges(previous)
	for _, name := range m.poolNames() {
		p := m.pools[name]
		for _, s := range p.all {
			s.evacuated = halls[s.Zone]
			if previous[s.Zone] && !s.evacuated {
				m.markReturnedCold(msg.Now, p, s)
			}
		}
		p.updateEligible()
		m.serveQueue(msg.Now, p, maxQueued)
	}
}

// returned takes a server for cold whose data hall has been taken back: it may have
// turned cold shortly before, and its entry says so only after its next heartbeat. The
// price is a few seconds at the cold rate where it has not.
func (m *Machine) markReturnedCold(now time.Duration, p *pool, s *server) {
	m.markCold(now, s, p.cold.Lasts, "its data hall was evacuated")
}

// tellHalls emits what has changed since an earlier set of evacuated halls.
func (m *Machine) emitHallChanges(previous map[string]bool) {
	all := maps.Clone(previous)
	maps.Copy(all, m.evacuated)
	for _, hall := range slices.Sorted(maps.Keys(all)) {
		if previous[hall] == m.evacuated[hall] {
			continue
		}
		servers := 0
		for _, s := range m.byServer {
			if s.Zone == hall {
				servers++
			}
		}
		m.emit(EvacuationCmd{Hall: hall, Evacuated: m.evacuated[hall], Revision: m.evacuationsRevision, Servers: servers})
	}
}
