package direct

import (
	"maps"
	"slices"
	"time"
)

const (
	// lostAfter is how many servers of a data hall in a row must turn out to be out of
	// reach, with no answer from any other, before the hall counts as lost. Where one
	// server in six is down, three in a row with no answer between are one case in 200.
	lostThreshold = 3
	// lostWithin bounds the time between the first and the last of them.
	lostWindow = time.Second
	// answerFresh is how recent an answer must be for a silent hall not to be probed: some
	// times the usual time to a first event.
	recentResponse = 250 * time.Millisecond
	// probesEach is how many servers of a hall are probed at once.
	probesPerRound = 3
	// probeFirst and probeLongest bound the time between two rounds of probes of a hall
	// that is lost. A probe opens a connection, so it costs little more than a caller's
	// request would that is sent there in vain.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
)

// hallReach is what a router knows of whether the servers of a data hall can be reached
// at all. Without it, each router finds each of the servers of a hall without power by
// itself, one hung connection at a time.
type hallReach struct {
	// unreached are the servers that could not be reached since a server of the hall last
	// answered; since is when the first of them was found.
	unreachable        map[string]bool
	firstUnreachableAt time.Duration
	respondedAt        time.Duration
	lost               bool
	routersSilent      bool // none of its routers is heard any more
	nextProbeAt        time.Duration
	probeInterval      time.Duration // between rounds of probes
	probesSent         int           // probes sent, so that each round takes other servers
}

func (m *Machine) reachOf(hall string) *hallReach {
	h := m.reach[hall]
	if h == nil {
		h = &hallReach{unreachable: make(map[string]bool)}
		m.reach[hall] = h
	}
	return h
}

// answered takes in that a server has answered: its hall can be reached.
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

// outOfReach takes in that nothing could be sent to a server. One that was out of reach
// before says nothing new of its hall.
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
	if !h.lost && len(h.unreachable) >= min(lostThreshold, m.countHallServers(s.Zone)) && m.enabled(HallReachability) {
		m.setHallLost(now, s.Zone, h, true)
	}
}

// serversIn counts the servers of a hall that are not gone.
func (m *Machine) countHallServers(hall string) int {
	n := 0
	for _, s := range m.byServer {
		if s.Zone == hall && !s.gone && !s.versionBarred {
			n++
		}
	}
	return n
}

// setLost puts in force whether a hall counts as lost.
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
	m.updateAllEligible()
	m.emit(HallReachabilityCmd{Hall: hall, Lost: lost, Unreached: len(h.unreachable), Servers: servers})
}

// takeQuiet takes in of which halls no router is heard any more.
func (m *Machine) setSilentHalls(halls []string) {
	for hall, h := range m.reach {
		h.routersSilent = slices.Contains(halls, hall)
	}
	for _, hall := range halls {
		m.reachOf(hall).routersSilent = true
	}
}

// probeHalls probes the halls that are lost, and those whose routers have fallen silent
// and whose servers have said nothing since: so no caller has to find it out.
func (m *Machine) probeHalls(now time.Duration) {
	for _, hall := range slices.Sorted(maps.Keys(m.reach)) {
		h := m.reach[hall]
		suspected := h.routersSilent && now-h.respondedAt > recentResponse
		if now < h.nextProbeAt || !m.enabled(HallReachability) || (!h.lost && !suspected) {
			continue
		}
		h.probeInterval = min(max(2*h.probeInterval, minProbeInterval), maxProbeInterval)
		h.nextProbeAt = now + h.probeInterval
		m.probeHall(hall, h)
	}
}

// probe sends one round of probes to servers of a hall, to others each time.
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

// probeEnded takes in whether a probed server could be reached.
func (m *Machine) handleProbe(msg ProbeResultMsg) {
	s := m.byServer[msg.Server]
	switch {
	case s == nil:
	case m.resolveCrashCheck(msg, s):
		// Its process has ended, which says nothing of the others of its hall.
	case msg.Reached:
		m.recordResponse(msg.Now, s)
	case !msg.RouterLate:
		m.recordUnreachable(msg.Now, s)
	}
}
