package loads

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// changesAbove is the number of servers above which digests tell what has changed
	// since a whole one: 2.5 kB, which costs a hall's aggregator 100 kB a second for each
	// router that reports to it. Below, all digests are whole.
	changesAbove = 256
	// changesPart bounds what has changed, in parts of the whole: above one in so many
	// a whole digest is sent.
	changesPart = 4
)

// whole is the last whole digest that was sent to a router or that came from one, and its
// checksum, so that changes are never added to another one than they were taken from.
type whole struct {
	loads []Load
	base  uint64
}

// newWhole returns a whole digest. Those from which no changes are told have no checksum.
func newWhole(loads []Load) whole {
	if len(loads) <= changesAbove {
		return whole{}
	}
	return whole{loads: loads, base: checksum(loads)}
}

// shorten returns what a digest has to tell a router of loads: what changed since the whole
// one that the router says it holds, or a whole one.
func (e *Exchange) shorten(report ListMsg, loads []Load) (tell []Load, base uint64) {
	if w := e.wholes[report.From]; w.base != 0 && w.base == report.Base {
		if changed := changes(w.loads, loads); changesPart*len(changed) <= len(loads) {
			return changed, w.base
		}
	}
	e.wholes[report.From] = newWhole(loads)
	return loads, 0
}

// lengthen returns the loads of a digest; ok is false where it tells what changed since one
// that this router does not hold.
func (e *Exchange) lengthen(msg ListMsg) (loads []Load, ok bool) {
	if msg.Base == 0 {
		e.held = newWhole(msg.Loads)
		return msg.Loads, true
	}
	if msg.Base != e.held.base {
		return nil, false
	}
	return change(e.held.loads, msg.Loads), true
}

// changes returns the loads that are not as they were; those that are gone are zero.
func changes(old, now []Load) []Load {
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

// change returns the old loads with what changed.
func change(old, changed []Load) []Load {
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

// checksum is never 0.
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
