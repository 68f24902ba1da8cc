package rollout

import "slices"

// Gate says where the requests of a service may go. A server of a version that is
// neither in use nor the target gets nothing.
type Gate struct {
	Service string
	// InUse are the versions that get requests beside a roll-out; nil: nothing is known
	// of the service yet, and none gets any.
	InUse []string
	// Target is the version that is being moved to; empty: none is.
	Target string
	// Part of the requests goes to the target's servers, by the parts of their prompts.
	Part float64
	// Limit bounds what is sent to the target by count, in parts of all that this router
	// has sent for the route since the gate opened; at 1 or above nothing is bounded.
	Limit float64
	// Servers is the part of the target's servers that take requests.
	Servers float64
	// OldClosed says that versions in use other than the target get nothing new.
	OldClosed bool
	// Move says that streams on old servers which may be resumed go on at the target's
	// at once.
	Move bool
}

// Uses tells whether a version may get requests beside a roll-out.
func (g *Gate) Uses(version string) bool { return slices.Contains(g.InUse, version) }
