package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

// loadsHold is how long the others' loads count without newer ones.
const loadsHold = 500 * time.Millisecond

// takeLoads takes in what all other routers have at the servers.
func (m *Machine) takeLoads(msg PeerLoadsMsg) {
	m.loadsAt = msg.Now
	others := make(map[uint32]loads.Load, len(msg.Loads))
	for _, l := range msg.Loads {
		others[l.Server] = l
	}
	for _, s := range m.byServer {
		s.others = others[s.key]
	}
}

// dropLoads forgets the others' loads where nothing new has come for too long.
func (m *Machine) dropLoads(now time.Duration) {
	if m.loadsAt > 0 && now-m.loadsAt > loadsHold {
		m.takeLoads(PeerLoadsMsg{})
	}
}

// Loads returns what this router has at the servers.
func (m *Machine) Loads() []loads.Load {
	var out []loads.Load
	for _, s := range m.byServer {
		if s.running > 0 {
			out = append(out, loads.Load{Server: s.key, Running: int32(s.running), Pending: int32(s.pending)})
		}
	}
	return out
}
