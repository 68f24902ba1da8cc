package loads

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// deltaAbove is the number of servers above which digests are sent as deltas. A full
	// digest of so many has 2.5 kB, which costs a hall's aggregator 100 kB a second for each
	// router that reports to it.
	deltaAbove = 256
	// deltaPart bounds the size of a delta: where more than one load in so many has changed,
	// a full digest is sent, from which the next deltas are small again.
	deltaPart = 4
)

// fullDigest is the last full digest that was sent to a router or that came from one. Its
// checksum names it, so that a delta is applied only to the digest that it was taken from.
type fullDigest struct {
	loads []Load
	base  uint64 // the checksum; 0: no delta is taken from it
}

// newFullDigest returns a full digest; a small one is kept empty, without a checksum.
func newFullDigest(loads []Load) fullDigest {
	if len(loads) <= deltaAbove {
		return fullDigest{}
	}
	return fullDigest{loads: loads, base: checksum(loads)}
}

// deltaFor returns the loads of a digest that answers a report: the delta to the full digest
// that the router says it holds, with its base, or all loads and 0.
func (e *Exchange) deltaFor(report ListMsg, loads []Load) (tell []Load, base uint64) {
	if w := e.sentFull[report.From]; w.base != 0 && w.base == report.Base {
		if changed := diff(w.loads, loads); deltaPart*len(changed) <= len(loads) {
			return changed, w.base
		}
	}
	e.sentFull[report.From] = newFullDigest(loads)
	return loads, 0
}

// expand returns all loads of a digest; ok is false where the digest is a delta to one that
// this router does not hold.
func (e *Exchange) expand(msg ListMsg) (loads []Load, ok bool) {
	if msg.Base == 0 {
		e.heldFull = newFullDigest(msg.Loads)
		return msg.Loads, true
	}
	if msg.Base != e.heldFull.base {
		return nil, false
	}
	return patch(e.heldFull.loads, msg.Loads), true
}

// diff returns the loads that have changed; those that are gone are zero.
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
	digest := xxhash.New()
	for _, l := range loads {
		binary.LittleEndian.PutUint32(row[0:], l.Server)
		binary.LittleEndian.PutUint32(row[4:], uint32(l.Running))
		binary.LittleEndian.PutUint32(row[8:], uint32(l.Pending))
		_, _ = digest.Write(row[:]) // a hash takes all
	}
	return max(digest.Sum64(), 1)
}
