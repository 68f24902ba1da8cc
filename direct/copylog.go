package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/loads"
)

// maxPendingCopies bounds the copies held between two rounds of announcements; the oldest are
// dropped. An announcement carries fewer, and there are forty rounds per second.
const maxPendingCopies = 64

// copyLog collects the copies of prompt parts that this router has caused, for announcement to
// the other routers. Only copies that rendezvous hashing does not predict are announced: those
// made at a server other than the one that all routers choose first. The zero value is ready to
// use.
type copyLog struct{ pending []loads.Copy }

// add appends a copy of a part at a server, or moves it to the end if it is pending already.
func (c *copyLog) add(part uint64, s *server) {
	entry := loads.Copy{Part: part, Server: s.loadKey}
	c.pending = slices.DeleteFunc(c.pending, func(other loads.Copy) bool { return other == entry })
	if len(c.pending) >= maxPendingCopies {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.pending = append(c.pending, entry)
}

// TakeCopies returns the copies made through this router since the last call. Each copy is
// returned once.
func (m *Machine) TakeCopies() []loads.Copy {
	pending := m.copyLog.pending
	m.copyLog.pending = nil
	return pending
}

// announceCopies queues announcements of the parts that a server reads for a request, up to the
// first one that it holds already. The known holders of a part are announced with it: a router
// with no recorded holders would otherwise treat the new copy as the only one.
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

// recordPeerCopies records the copies that other routers have announced.
func (m *Machine) recordPeerCopies(msg PeerCopiesMsg) {
	for _, c := range msg.Copies {
		if s := m.byKey[c.Server]; s != nil {
			m.partHolders.record(msg.Now, c.Part, s.ID)
		}
	}
}
