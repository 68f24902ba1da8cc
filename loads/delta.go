package loads

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// deltaThreshold is the number of servers above which digests are sent as deltas. A full digest
	// of that many takes 2.5 kB, which costs a hall's aggregator 100 kB per second for each router
	// that reports to it.
	deltaThreshold = 256
	// minDeltaRatio is the minimum ratio of the loads in a full digest to those in a delta. If more
	// loads have changed, a full digest is sent, and the deltas to it are small again.
	minDeltaRatio = 4
)

// fullDigest is the last full digest sent to, or received from, a router. Its checksum identifies
// it, so that a delta is applied only to the digest that it was computed from.
type fullDigest struct {
	loads    []Load
	checksum uint64 // 0: not a base for deltas
}

// newFullDigest returns a full digest. One with at most deltaThreshold loads is left empty, without
// a checksum.
func newFullDigest(loads []Load) fullDigest {
	if len(loads) <= deltaThreshold {
		return fullDigest{}
	}
	return fullDigest{loads: loads, checksum: checksum(loads)}
}

// deltaFor returns the loads of a digest that answers a report: the delta to the full digest that
// the report names, with the checksum of that digest, or all loads and 0.
func (e *Exchange) deltaFor(report ListMsg, loads []Load) (send []Load, base uint64) {
	if full := e.sentDigests[report.From]; full.checksum != 0 && full.checksum == report.Base {
		if changed := diff(full.loads, loads); minDeltaRatio*len(changed) <= len(loads) {
			return changed, full.checksum
		}
	}
	e.sentDigests[report.From] = newFullDigest(loads)
	return loads, 0
}

// applyDigest returns all loads of a digest. ok is false if the digest is a delta to a full digest
// that this router does not hold.
func (e *Exchange) applyDigest(msg ListMsg) (loads []Load, ok bool) {
	if msg.Base == 0 {
		e.heldDigest = newFullDigest(msg.Loads)
		return msg.Loads, true
	}
	if msg.Base != e.heldDigest.checksum {
		return nil, false
	}
	return patch(e.heldDigest.loads, msg.Loads), true
}

// diff returns the loads that have changed. A load that was removed has zero counts.
func diff(old, now []Load) []Load {
	var out []Load
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(old) == 0 || len(now) > 0 && now[0].Server < old[0].Server:
			out, now = append(out, now[0]), now[1:]
		case len(now) == 0 || old[0].Server < now[0].Server:
			out, old = append(out, Load{Server: old[0].Server}), old[1:]
		default:
			if old[0] != now[0] {
				out = append(out, now[0])
			}
			old, now = old[1:], now[1:]
		}
	}
	return out
}

// patch returns the old loads with a diff applied.
func patch(old, changed []Load) []Load {
	out := make([]Load, 0, len(old)+len(changed))
	for len(old) > 0 || len(changed) > 0 {
		if len(changed) == 0 || len(old) > 0 && old[0].Server < changed[0].Server {
			out, old = append(out, old[0]), old[1:]
			continue
		}
		if len(old) > 0 && old[0].Server == changed[0].Server {
			old = old[1:]
		}
		if changed[0] != (Load{Server: changed[0].Server}) {
			out = append(out, changed[0])
		}
		changed = changed[1:]
	}
	return out
}

// checksum returns a hash of loads, which is never 0.
func checksum(loads []Load) uint64 {
	var row [12]byte
	hash := xxhash.New()
	for _, l := range loads {
		binary.LittleEndian.PutUint32(row[0:], l.Server)
		binary.LittleEndian.PutUint32(row[4:], uint32(l.Running))
		binary.LittleEndian.PutUint32(row[8:], uint32(l.Pending))
		_, _ = hash.Write(row[:]) // a hash returns no error
	}
	return max(hash.Sum64(), 1)
}
