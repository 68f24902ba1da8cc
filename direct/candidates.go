package direct

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a server with its place in a request's order.
type candidate struct {
	server *server
	// order is the rendezvous weight of the server for the request's last shared
	// part; its highest bit says that the server keeps the part or is on trial.
	order uint64
}

// firstBit is the bit of a candidate's order that puts it before the others.
const firstBit = 1 << 63

// candidates returns the servers that a request may go to. The first lookEach are
// in the order in which it looks at them: those that keep its last shared part,
// then the others by their rendezvous weight for the part; the rest is not sorted,
// since few requests look at it. The slice is valid until the next call.
func (m *Machine) candidates(now time.Duration, p *pool, r *run) []candidate {
	out := m.scratch[:0]
	subject := uint64(r.ID) * 0x9e3779b97f4a7c15
	var keepers []holder
	if part, shared := r.lastShared(); shared {
		subject = part.ID
		keepers = m.holders.of(part.ID)
	}
	for _, s := range p.eligible(r) {
		if !m.open(now, p, s, r) {
			continue
		}
		order := rank(subject, s) >> 1
		if s.probation || keeps(keepers, now, p.keeps, s.ID) {
			order |= firstBit
		}
		out = append(out, candidate{server: s, order: order})
	}
	sortFirst(out)
	m.scratch = out
	return out
}

// sortFirst brings the first lookEach candidates to the front, in their order.
func sortFirst(all []candidate) {
	for i := range min(lookEach, len(all)) {
		first := i
		for j := i + 1; j < len(all); j++ {
			if all[j].order > all[first].order {
				first = j
			}
		}
		all[i], all[first] = all[first], all[i]
	}
}

// sortRest sorts the candidates behind the first lookEach.
func sortRest(all []candidate) {
	slices.SortFunc(all[lookEach:], func(a, b candidate) int { return cmp.Compare(b.order, a.order) })
}

// firstHolder returns the server that keeps the request's last shared part and ranks
// highest for it, or, where none is known to keep it, the one that ranks highest
// of all: every router takes that one first.
func (m *Machine) firstHolder(now time.Duration, p *pool, r *run) *server {
	last, shared := r.lastShared()
	if !shared {
		return nil
	}
	part := last.ID
	keepers := m.holders.of(part)
	var first *server
	var top uint64
	held := false
	for _, s := range p.eligible(r) {
		if !s.takes(now, r.Regions) || s.probation {
			continue
		}
		has := keeps(keepers, now, p.keeps, s.ID)
		if held && !has {
			continue
		}
		w := rank(part, s)
		if first == nil || w > top || (has && !held) {
			first, top, held = s, w, has
		}
	}
	return first
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
