package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n names that rank highest for key by rendezvous
// hashing. Every process computes the same result from the same list, and adding
// or removing a name changes only the results that contain it.
func Rendezvous(key string, names []Name, n int) []Name {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b Name) int {
		return cmp.Or(
			cmp.Compare(rendezvousWeight(key, b), rendezvousWeight(key, a)),
			cmp.Compare(a, b),
		)
	})
	return ranked[:min(n, len(ranked))]
}

// InRendezvous reports whether a name is among the n that rank highest for key.
// It is cheaper than Rendezvous because it does not sort the names.
func InRendezvous(key string, names []Name, name Name, n int) bool {
	own := rendezvousWeight(key, name)
	higher := 0
	for _, other := range names {
		w := rendezvousWeight(key, other)
		if w > own || (w == own && other < name) {
			higher++
		}
	}
	return higher < n
}

// rendezvousWeight returns the hash by which a name ranks for a key.
func rendezvousWeight(key string, n Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(n))
	return d.Sum64()
}
