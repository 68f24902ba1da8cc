package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

// peerLoadsTTL is how long the others' loads count without newer ones.
const peerLoadsTTL = 500 * time.Millisecond

// setPeerLoads takes in what all other routers have at the servers.
func (m *Machine) setPeerLoads(msg PeerLoadsMsg) {
	m.peerLoadsAt = msg.Now
	peerLoad := make(map[uint32]loads.Load, len(msg.Loads))
	for _, l := range msg.Loads {
		peerLoad[l.Server] = l
	}
	for _, s := range m.byServer {
		s.peerLoad = peerLoad[s.loadKey]
	}
}

// expirePeerLoads forgets the others' loads where nothing new has come for too long.
func (m *Machine) expirePeerLoads(now time.Duration) {
	if m.peerLoadsAt > 0 && now-m.peerLoadsAt > peerLoadsTTL {
		m.setPeerLoads(PeerLoadsMsg{})
	}
}

// Loads returns what this router has at the servers.
func (m *Machine) Loads() []loads.Load {
	var out []loads.Load
	for _, s := range m.byServer {
		if s.running > 0 {
			out = append(out, loads.Load{Server: s.loadKey, Running: int32(s.running), Pending: int32(s.pendingTokens)})
		}
	}
	return out
}
