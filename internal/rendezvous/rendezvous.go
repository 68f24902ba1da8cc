// Package rendezvous holds the weight function of rendezvous hashing for keys and nodes that are
// hashed already.
package rendezvous

// Weight returns the weight of a node for a key. Of several nodes, the one with the highest weight
// comes first for the key. All processes compute the same weights.
func Weight(node, key uint64) uint64 {
	x := node ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
