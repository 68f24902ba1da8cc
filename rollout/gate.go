package rollout

import "slices"

// Gate says where the requests of a service may go. A server of a version that is
// neither in use nor the target gets nothing.
type Gate struct {
	Service string
	// InUse are the versions that get requests whether or not a roll-out is under way; nil:
	// nothing is known of the service yet, and no version gets any.
	InUse []string
	// Target is the version that the service is moving to; empty: no roll-out is under way.
	Target string
	// Fraction, from 0 to 1, of the requests goes to the target's servers. Which requests follows
	// from the shared parts of their prompts, so that these move together.
	Fraction float64
	// Limit bounds the number of requests that this router sends to the target, as a part of
	// those that it knows to have reached servers of any version since the target was set: in
	// all, and for each route. At 1 or above nothing is bounded.
	Limit float64
	// ServerFraction is the part of the target's servers that take requests.
	ServerFraction float64
	// OldClosed says that versions in use other than the target get nothing new.
	OldClosed bool
	// MoveStreams says that streams which run at old servers and may be resumed are broken off, to
	// go on at the target's servers.
	MoveStreams bool
}

// Uses tells whether a version is in use: it gets requests without being the target.
func (g *Gate) Uses(version string) bool { return slices.Contains(g.InUse, version) }
