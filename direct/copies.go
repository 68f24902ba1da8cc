package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/loads"
)

// copiesMost bounds the copies between two rounds of the lists that tell them; older ones
// are dropped. Lists hold fewer, and rounds come forty times a second.
const copiesMost = 64

// copies holds the copies of prompts' parts that were made through a router since they were
// last taken. Routers tell one another of copies that the rendezvous order does not give
// away: made at another server than the one that all routers try first. The zero value is
// ready.
type copies struct{ made []loads.Copy }

// add notes that a server keeps a part.
func (c *copies) add(part uint64, s *server) {
	one := loads.Copy{Part: part, Server: s.key}
	c.made = slices.DeleteFunc(c.made, func(other loads.Copy) bool { return other == one })
	if len(c.made) >= copiesMost {
		c.made = slices.Delete(c.made, 0, 1)
	}
	c.made = append(c.made, one)
}

// TakeCopies returns the copies that were made through this router since the last call;
// each is told once.
func (m *Machine) TakeCopies() []loads.Copy {
	made := m.copies.made
	m.copies.made = nil
	return made
}

// tellCopies tells the others of the parts that a server reads for a request. The
// servers that are known to keep a part already are told with it: to a router that
// knows of none, the new copy would otherwise be the only one.
func (m *Machine) tellCopies(now time.Duration, p *pool, r *run, s *server) {
	for i := len(r.Parts) - 2; i >= 0; i-- {
		part := r.Parts[i].ID
		keepers := m.holders.of(part)
		if keeps(keepers, now, p.keeps, s.ID) {
			return
		}
		for _, h := range keepers {
			if keeper := m.byServer[h.server]; keeper != nil && now-h.at < p.keeps {
				m.copies.add(part, keeper)
			}
		}
		m.copies.add(part, s)
	}
}

// hearCopies takes in what other routers tell of copies.
func (m *Machine) hearCopies(msg PeerCopiesMsg) {
	for _, c := range msg.Copies {
		if s := m.byKey[c.Server]; s != nil {
			m.holders.note(msg.Now, c.Part, s.ID)
		}
	}
}
