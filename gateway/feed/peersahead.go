package feed

import (
	"slices"

	"github.com/croftvale/croftvale/gateway/traffic"
)

// PeersAhead are the addresses of the routers that know something newer of one feed.
type PeersAhead struct {
	OwnHall      []string
	OtherHalls   []string // of this router's region
	OtherRegions []string
}

// All returns all of them, the nearest first.
func (a PeersAhead) All() []string { return slices.Concat(a.OwnHall, a.OtherHalls, a.OtherRegions) }

// OnlyInOtherHalls tells whether only routers of other halls know it.
func (a PeersAhead) OnlyInOtherHalls() bool {
	return len(a.OwnHall) == 0 && len(a.OtherHalls)+len(a.OtherRegions) > 0
}

// PeersAheadByFeed are, for each feed, the routers that know something newer.
type PeersAheadByFeed []PeersAhead

// NewPeersAheadByFeed returns empty lists for the feeds of a router that knows some revisions.
func NewPeersAheadByFeed(own Revisions) PeersAheadByFeed { return make(PeersAheadByFeed, len(own)) }

// Add takes in what another router knows, which is reached over a path.
func (l PeersAheadByFeed) Add(own Revisions, address string, path traffic.Path, revisions Revisions) {
	for i := range l {
		if revisions.get(i) <= own.get(i) {
			continue
		}
		switch path {
		case traffic.WithinHall:
			l[i].OwnHall = append(l[i].OwnHall, address)
		case traffic.BetweenHalls:
			l[i].OtherHalls = append(l[i].OtherHalls, address)
		default:
			l[i].OtherRegions = append(l[i].OtherRegions, address)
		}
	}
}
