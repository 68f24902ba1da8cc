package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

// peerLoadsTTL is how long the loads of the other routers stay valid without an update.
const peerLoadsTTL = 500 * time.Millisecond

// setPeerLoads replaces the loads that the other routers have at the servers.
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

// expirePeerLoads clears the loads of the other routers once they are older than peerLoadsTTL.
func (m *Machine) expirePeerLoads(now time.Duration) {
	if m.peerLoadsAt > 0 && now-m.peerLoadsAt > peerLoadsTTL {
		m.setPeerLoads(PeerLoadsMsg{})
	}
}

// Loads returns this router's own load at each server that runs any of its requests.
func (m *Machine) Loads() []loads.Load {
	var out []loads.Load
	for _, s := range m.byServer {
		if s.running > 0 {
			out = append(out, loads.Load{Server: s.loadKey, Running: int32(s.running), Pending: int32(s.pendingTokens)})
		}
	}
	return out
}
