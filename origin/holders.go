package origin

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/internal/rendezvous"
)

const (
	// copies is the number of routers that hold the record of a stream, besides the one that
	// serves it.
	copies = 2
	// extraAsked is the number of further routers that are asked for a record, since routers do
	// not always agree on who is live.
	extraAsked = 2
)

// Router is a router that keeps records.
type Router struct {
	Address string
	Hall    string
	Region  string // empty: unknown
	// Start identifies the life of the router: one that has restarted holds nothing.
	Start int64

	hash uint64 // of the address
}

// weight returns the weight of a router for a stream in rendezvous hashing.
func (r *Router) weight(key Key) uint64 { return rendezvous.Weight(r.hash, uint64(key)) }

// hashed returns a copy of routers with their hashes, sorted by address.
func hashed(routers []Router) []Router {
	out := slices.Clone(routers)
	for i := range out {
		out[i].hash = xxhash.Sum64String(out[i].Address)
	}
	slices.SortFunc(out, func(a, b Router) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// first returns the router with the highest weight among those that are eligible, or nil.
func first(key Key, routers []Router, eligible func(*Router) bool) *Router {
	var best *Router
	var bestWeight uint64
	for i := range routers {
		r := &routers[i]
		if weight := r.weight(key); (best == nil || weight > bestWeight) && eligible(r) {
			best, bestWeight = r, weight
		}
	}
	return best
}

// holders returns the routers that hold the record of a stream, in order: the first, and the first
// of another hall, as a hall may be lost as a whole.
func holders(key Key, routers []Router) []*Router {
	var out []*Router
	for range copies {
		next := first(key, routers, func(r *Router) bool { return !contains(out, r) && (len(out) == 0 || r.Hall != out[0].Hall) })
		if next == nil {
			next = first(key, routers, func(r *Router) bool { return !contains(out, r) })
		}
		if next == nil {
			return out
		}
		out = append(out, next)
	}
	return out
}

// asked returns the routers to ask for a record: its holders, and those after them.
func asked(key Key, routers []Router) []*Router {
	out := holders(key, routers)
	for range extraAsked {
		next := first(key, routers, func(r *Router) bool { return !contains(out, r) })
		if next == nil {
			break
		}
		out = append(out, next)
	}
	return out
}

// firstRouters returns the n routers with the highest weights for a stream, or all if there are fewer.
func firstRouters(key Key, routers []Router, n int) []*Router {
	out := make([]*Router, len(routers))
	for i := range routers {
		out[i] = &routers[i]
	}
	slices.SortFunc(out, func(a, b *Router) int { return cmp.Compare(b.weight(key), a.weight(key)) })
	return out[:min(len(out), n)]
}

func contains(routers []*Router, r *Router) bool {
	return slices.ContainsFunc(routers, func(other *Router) bool { return other.Address == r.Address && other.Start == r.Start })
}

// byRegion groups routers by region.
func byRegion(routers []Router) map[string][]Router {
	out := make(map[string][]Router)
	for _, r := range routers {
		out[r.Region] = append(out[r.Region], r)
	}
	return out
}

// ofRegion returns the routers of a region, or all if these are too few.
func ofRegion(region string, routers []Router) []Router {
	var out []Router
	for _, r := range routers {
		if r.Region == region {
			out = append(out, r)
		}
	}
	if len(out) < copies {
		return routers
	}
	return out
}
