package direct

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a server with its place in a request's order.
type candidate struct {
	server *server
	first  bool // it keeps the request's last shared part, or is on trial
	weight uint64
}

// candidates returns the servers that a request may go to, in the order in which
// it looks at them: those that keep its last shared part, then the others by
// their rendezvous weight for the part. The slice is valid until the next call.
func (m *Machine) candidates(now time.Duration, p *pool, r *run) []candidate {
	out := m.scratch[:0]
	subject := uint64(r.ID) * 0x9e3779b97f4a7c15
	part, shared := r.lastShared()
	if shared {
		subject = part.ID
	}
	for _, s := range p.order {
		if !m.open(now, s, r) {
			continue
		}
		first := s.probation || (shared && m.holders.has(now, p.keeps, part.ID, s.ID))
		out = append(out, candidate{server: s, first: first, weight: rank(subject, s)})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(compareBool(!a.first, !b.first), cmp.Compare(b.weight, a.weight))
	})
	m.scratch = out
	return out
}

// firstHolder returns the server that keeps the request's last shared part and ranks
// highest for it, or, where none is known to keep it, the one that ranks highest
// of all: every router takes that one first.
func (m *Machine) firstHolder(now time.Duration, p *pool, r *run) (first *server, held bool) {
	last, shared := r.lastShared()
	if !shared {
		return nil, false
	}
	part := last.ID
	var top uint64
	for _, s := range p.order {
		if !s.usable(now) || s.probation {
			continue
		}
		has := m.holders.has(now, p.keeps, part, s.ID)
		if held && !has {
			continue
		}
		w := rank(part, s)
		if first == nil || w > top || (has && !held) {
			first, top, held = s, w, has
		}
	}
	return first, held
}

// rank is the rendezvous weight of a server for a part.
func rank(part uint64, s *server) uint64 {
	x := s.hash ^ part
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
