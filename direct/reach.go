package direct

import (
	"maps"
	"slices"
	"time"
)

const (
	// minUnreachable is the number of servers of a data hall that must turn out to be
	// unreachable in a row, without a response of any other, before the hall counts as lost. If
	// one server in six is down, three in a row without a response between them are one case in
	// 200.
	minUnreachable = 3
	// lostWindow is the maximum time between the first and the last of them.
	lostWindow = time.Second
	// maxResponseAge is the maximum age of a response that keeps a hall without router
	// heartbeats from being probed. It is several times the usual time to a first event.
	maxResponseAge = 250 * time.Millisecond
	// probesPerRound is the number of servers of a hall that are probed at once.
	probesPerRound = 3
	// minProbeInterval and maxProbeInterval bound the time between two rounds of probes of a
	// lost hall. A probe opens a connection, so it costs little more than a caller's request to
	// an unreachable server.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
)

// hallReach tracks whether the servers of a data hall can be reached at all. Without it, each
// router detects each server of a hall without power on its own, one timed-out connection at a
// time.
type hallReach struct {
	// unreachable holds the servers that could not be reached since a server of the hall last
	// responded. firstUnreachableAt is when the first of them was detected.
	unreachable        map[string]bool
	firstUnreachableAt time.Duration
	respondedAt        time.Duration
	lost               bool
	routersSilent      bool // no router of the hall sends heartbeats any more
	nextProbeAt        time.Duration
	probeInterval      time.Duration // between rounds of probes
	probesSent         int           // so that each round probes other servers
}

func (m *Machine) reachOf(hall string) *hallReach {
	h := m.reach[hall]
	if h == nil {
		h = &hallReach{unreachable: make(map[string]bool)}
		m.reach[hall] = h
	}
	return h
}

// recordResponse records that a server has responded, so its hall can be reached.
func (m *Machine) recordResponse(now time.Duration, s *server) {
	h := m.reachOf(s.Zone)
	h.respondedAt = now
	if len(h.unreachable) > 0 {
		clear(h.unreachable)
	}
	if h.lost {
		m.setHallLost(now, s.Zone, h, false)
	}
}

// recordUnreachable records that nothing could be sent to a server. A server on probation is
// ignored: it has failed before, so it gives no new evidence about its hall.
func (m *Machine) recordUnreachable(now time.Duration, s *server) {
	if s.probation {
		return
	}
	h := m.reachOf(s.Zone)
	if now-h.firstUnreachableAt > lostWindow && !h.lost {
		clear(h.unreachable)
	}
	if len(h.unreachable) == 0 {
		h.firstUnreachableAt = now
	}
	h.unreachable[s.ID] = true
	if !h.lost && len(h.unreachable) >= min(minUnreachable, m.countHallServers(s.Zone)) && m.enabled(HallReachability) {
		m.setHallLost(now, s.Zone, h, true)
	}
}

// countHallServers counts the servers of a hall that are neither gone nor barred.
func (m *Machine) countHallServers(hall string) int {
	n := 0
	for _, s := range m.byServer {
		if s.Zone == hall && !s.gone && !s.versionBarred {
			n++
		}
	}
	return n
}

// setHallLost marks a hall as lost or as reachable again.
func (m *Machine) setHallLost(now time.Duration, hall string, h *hallReach, lost bool) {
	h.lost = lost
	h.probeInterval = minProbeInterval
	h.nextProbeAt = now + h.probeInterval
	servers := 0
	for _, s := range m.byServer {
		if s.Zone == hall {
			s.hallUnreachable = lost
			servers++
		}
	}
	m.updateAllAdmitted()
	m.emit(HallReachabilityCmd{Hall: hall, Lost: lost, Unreached: len(h.unreachable), Servers: servers})
}

// setSilentHalls sets the halls whose routers no longer send heartbeats.
func (m *Machine) setSilentHalls(halls []string) {
	for hall, h := range m.reach {
		h.routersSilent = slices.Contains(halls, hall)
	}
	for _, hall := range halls {
		m.reachOf(hall).routersSilent = true
	}
}

// probeHalls probes lost halls, and halls without heartbeats of routers and without recent
// responses of servers, so that no caller's request has to detect an outage.
func (m *Machine) probeHalls(now time.Duration) {
	for _, hall := range slices.Sorted(maps.Keys(m.reach)) {
		h := m.reach[hall]
		suspected := h.routersSilent && now-h.respondedAt > maxResponseAge
		if now < h.nextProbeAt || !m.enabled(HallReachability) || (!h.lost && !suspected) {
			continue
		}
		h.probeInterval = min(max(2*h.probeInterval, minProbeInterval), maxProbeInterval)
		h.nextProbeAt = now + h.probeInterval
		m.probeHall(hall, h)
	}
}

// probeHall sends one round of probes to servers of a hall, to other servers each time.
func (m *Machine) probeHall(hall string, h *hallReach) {
	var all []*server
	for _, name := range m.poolNames() {
		for _, s := range m.pools[name].admitted {
			if s.Zone == hall && !s.leaving {
				all = append(all, s)
			}
		}
	}
	for range min(probesPerRound, len(all)) {
		m.emit(ProbeCmd{Server: all[h.probesSent%len(all)].Server})
		h.probesSent++
	}
}

// handleProbe handles the result of a probe.
func (m *Machine) handleProbe(msg ProbeResultMsg) {
	s := m.byServer[msg.Server]
	switch {
	case s == nil:
	case m.resolveCrashCheck(msg, s):
		// Its process has ended, which is no evidence about the other servers of its hall.
	case msg.Reached:
		m.recordResponse(msg.Now, s)
	case !msg.RouterLate:
		m.recordUnreachable(msg.Now, s)
	}
}
