package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/internal/rendezvous"
)

// candidate is a server that may receive a request, with its score.
type candidate struct {
	server *server
	// score is the server's rendezvous weight for the request's last shared part. Its highest
	// bit is set if the server holds the part or is on probation.
	score uint64
}

// preferredBit in a score ranks a candidate before all those without it.
const preferredBit = 1 << 63

// candidates returns the servers that may receive a request now. The first candidateBatch are
// sorted: holders of the request's last shared part and servers on probation, then the others
// by their rendezvous weight for the part. The rest is unsorted, because few requests need it;
// see sortRest. The slice is valid until the next call.
func (m *Machine) candidates(now time.Duration, p *pool, r *requestState) []candidate {
	out := m.candidateBuf[:0]
	hashKey := uint64(r.ID) * 0x9e3779b97f4a7c15
	var holders []partHolder
	if part, shared := r.lastShared(); shared {
		hashKey = part.ID
		holders = m.partHolders.holdersOf(part.ID)
	}
	for _, s := range p.sideServers(r) {
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

// sortFirstBatch moves the candidateBatch candidates with the highest scores to the front, in
// order.
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

// sortRest sorts the candidates after the first candidateBatch.
func sortRest(all []candidate) {
	slices.SortFunc(all[candidateBatch:], func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
}

// preferredServer returns the usable server with the highest rendezvous weight for the
// request's last shared part, among the known holders of the part or, if there are none, among
// all servers. All routers with the same knowledge choose the same server. It returns nil for a
// request without a shared part.
func (m *Machine) preferredServer(now time.Duration, p *pool, r *requestState) *server {
	last, shared := r.lastShared()
	if !shared {
		return nil
	}
	part := last.ID
	holders := m.partHolders.holdersOf(part)
	var best *server
	var maxWeight uint64
	held := false
	for _, s := range p.sideServers(r) {
		if !s.accepts(now, &r.Request) || s.probation {
			continue
		}
		holds := holdsPart(holders, now, p.cacheTTL, s.ID)
		if held && !holds {
			continue
		}
		weight := rendezvousWeight(part, s)
		if best == nil || weight > maxWeight || (holds && !held) {
			best, maxWeight, held = s, weight, holds
		}
	}
	return best
}

// rendezvousWeight returns the weight of a server for a part in rendezvous hashing.
func rendezvousWeight(part uint64, s *server) uint64 { return rendezvous.Weight(s.idHash, part) }
