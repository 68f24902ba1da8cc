package rollout

import "slices"

// Gate defines where the requests of a service may go. A server of a version that is
// neither in use nor the target gets no requests.
type Gate struct {
	Service string
	// InUse holds the versions that get requests whether or not a rollout is running; nil: they
	// are not determined yet, and no version gets requests.
	InUse []string
	// Target is the version that the service is moving to; empty: no rollout is running.
	Target string
	// Fraction of the requests, from 0 to 1, goes to the target's servers. The selection is by
	// shared prompt prefix, so that requests with a common prefix move together.
	Fraction float64
	// Limit bounds the number of requests that this router sends to the target, as a fraction of
	// those that, to its knowledge, reached servers of any version since the target was set: in
	// total, and for each route. At 1 or above there is no bound.
	Limit float64
	// ServerFraction is the fraction of the target's servers that take requests.
	ServerFraction float64
	// OldClosed is set if versions in use other than the target get no new requests.
	OldClosed bool
}

// Uses reports whether version is in use, that is, gets requests without being the target.
func (g *Gate) Uses(version string) bool { return slices.Contains(g.InUse, version) }
