package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/loads"
)

// maxPendingCopies bounds the copies between two rounds of the lists that tell them; older ones
// are dropped. Lists hold fewer, and rounds come forty times a second.
const maxPendingCopies = 64

// copyLog holds the copies of prompts' parts that were made through a router since they were
// last taken. Routers tell one another of copies that the rendezvous order does not give
// away: made at another server than the one that all routers try first. The zero value is
// ready.
type copyLog struct{ pending []loads.Copy }

// add notes that a server keeps a part.
func (c *copyLog) add(part uint64, s *server) {
	entry := loads.Copy{Part: part, Server: s.loadKey}
	c.pending = slices.DeleteFunc(c.pending, func(other loads.Copy) bool { return other == entry })
	if len(c.pending) >= maxPendingCopies {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.pending = append(c.pending, entry)
}

// TakeCopies returns the copies that were made through this router since the last call;
// each is told once.
func (m *Machine) TakeCopies() []loads.Copy {
	pending := m.copyLog.pending
	m.copyLog.pending = nil
	return pending
}

// announceCopies tells the others of the parts that a server reads for a request. The
// servers that are known to keep a part already are told with it: to a router that
// knows of none, the new copy would otherwise be the only one.
func (m *Machine) announceCopies(now time.Duration, p *pool, r *requestState, s *server) {
	for i := len(r.Parts) - 2; i >= 0; i-- {
		part := r.Parts[i].ID
		holders := m.partHolders.holdersOf(part)
		if holdsPart(holders, now, p.cacheTTL, s.ID) {
			return
		}
		for _, h := range holders {
			if holder := m.byServer[h.server]; holder != nil && now-h.lastUsed < p.cacheTTL {
				m.copyLog.add(part, holder)
			}
		}
		m.copyLog.add(part, s)
	}
}

// recordPeerCopies takes in what other routers tell of copies.
func (m *Machine) recordPeerCopies(msg PeerCopiesMsg) {
	for _, c := range msg.Copies {
		if s := m.byKey[c.Server]; s != nil {
			m.partHolders.record(msg.Now, c.Part, s.ID)
		}
	}
}
