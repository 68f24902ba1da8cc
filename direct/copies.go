package direct

import (
	"slices"
	"time"
)

const (
	// copyToldFor is how long a copy is told to the other routers: two or three
	// heartbeats, since datagrams may be lost.
	copyToldFor = 700 * time.Millisecond
	// copiesMost bounds the copies in one report; older ones are dropped.
	copiesMost = 64
)

// Copy says that a server keeps a shared part of a prompt. Routers tell one
// another of copies that the rendezvous order does not give away: made at another
// server than the one that all routers try first.
type Copy struct {
	Part   uint64
	Server uint32 // see loads.Key
}

// toldCopy is a copy that is told to the others for some time.
type toldCopy struct {
	Copy
	at time.Duration
}

// copies holds what a router has lately to tell of copies. The zero value is
// ready.
type copies struct{ told []toldCopy }

// add begins to tell that a server keeps a part.
func (c *copies) add(now time.Duration, part uint64, s *server) {
	one := Copy{Part: part, Server: s.key}
	c.told = slices.DeleteFunc(c.told, func(t toldCopy) bool { return t.Copy == one || now-t.at > copyToldFor })
	if len(c.told) >= copiesMost {
		c.told = slices.Delete(c.told, 0, 1)
	}
	c.told = append(c.told, toldCopy{Copy: one, at: now})
}

// list returns what is to be told now.
func (c *copies) list(now time.Duration) []Copy {
	var out []Copy
	for _, t := range c.told {
		if now-t.at <= copyToldFor {
			out = append(out, t.Copy)
		}
	}
	return out
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
				m.copies.add(now, part, keeper)
			}
		}
		m.copies.add(now, part, s)
	}
}

// hearCopies takes in what another router tells of copies.
func (m *Machine) hearCopies(now time.Duration, told []Copy) {
	for _, c := range told {
		if s := m.byKey[c.Server]; s != nil {
			m.holders.note(now, c.Part, s.ID)
		}
	}
}
