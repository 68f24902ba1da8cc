package direct

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a server with its place in a request's order.
type candidate struct {
	server *server
	// score is the rendezvous weight of the server for the request's last shared
	// part; its highest bit says that the server keeps the part or is on trial.
	score uint64
}

// preferredBit is the bit of a candidate's order that puts it before the others.
const preferredBit = 1 << 63

// candidates returns the servers that a request may go to. The first lookEach are
// in the order in which it looks at them: those that keep its last shared part,
// then the others by their rendezvous weight for the part; the rest is not sorted,
// since few requests look at it. The slice is valid until the next call.
func (m *Machine) candidates(now time.Duration, p *pool, r *requestState) []candidate {
	out := m.candidateBuf[:0]
	hashKey := uint64(r.ID) * 0x9e3779b97f4a7c15
	var holders []partHolder
	if part, shared := r.lastShared(); shared {
		hashKey = part.ID
		holders = m.partHolders.holdersOf(part.ID)
	}
	for _, s := range p.eligible(r) {
		if !m.eligible(now, p, s, r) {
			continue
		}
		score := rendezvousWeight(hashKey, s) >> 1
		if s.probation || holdsPart(holders, now, p.cacheTTL, s.ID) {
			score |= preferredBit
		}
		out = append(out, candidate{server: s, score: score})
	}
	sortFirstBatch(out)
	m.candidateBuf = out
	return out
}

// sortFirstBatch brings the first lookEach candidates to the front, in their order.
func sortFirstBatch(all []candidate) {
	for i := range min(candidateBatch, len(all)) {
		first := i
		for j := i + 1; j < len(all); j++ {
			if all[j].score > all[first].score {
				first = j
			}
		}
		all[i], all[first] = all[first], all[i]
	}
}

// sortRest sorts the candidates behind the first lookEach.
func sortRest(all []candidate) {
	slices.SortFunc(all[candidateBatch:], func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
}

// preferredServer returns the server that keeps the request's last shared part and ranks
// highest for it, or, where none is known to keep it, the one that ranks highest
// of all: every router takes that one first.
func (m *Machine) preferredServer(now time.Duration, p *pool, r *requestState) *server {
	last, shared := r.lastShared()
	if !shared {
		return nil
	}
	part := last.ID
	holders := m.partHolders.holdersOf(part)
	var first *server
	var top uint64
	held := false
	for _, s := range p.eligible(r) {
		if !s.accepts(now, r.Regions) || s.probation {
			continue
		}
		holds := holdsPart(holders, now, p.cacheTTL, s.ID)
		if held && !holds {
			continue
		}
		weight := rendezvousWeight(part, s)
		if first == nil || weight > top || (holds && !held) {
			first, top, held = s, weight, holds
		}
	}
	return first
}

// rendezvousWeight is the rendezvous weight of a server for a part.
func rendezvousWeight(part uint64, s *server) uint64 {
	x := s.idHash ^ part
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
