package feed

import (
	"slices"

	"github.com/croftvale/croftvale/gateway/traffic"
)

// PeersAhead holds the addresses of the routers that have newer content of one feed.
type PeersAhead struct {
	OwnHall      []string
	OtherHalls   []string // of this router's region
	OtherRegions []string
}

// All returns all addresses, the nearest routers first.
func (a PeersAhead) All() []string { return slices.Concat(a.OwnHall, a.OtherHalls, a.OtherRegions) }

// OnlyInOtherHalls reports whether only routers of other halls have newer content.
func (a PeersAhead) OnlyInOtherHalls() bool {
	return len(a.OwnHall) == 0 && len(a.OtherHalls)+len(a.OtherRegions) > 0
}

// PeersAheadByFeed holds, for each feed, the routers that have newer content.
type PeersAheadByFeed []PeersAhead

// NewPeersAheadByFeed returns an empty list for each feed in own.
func NewPeersAheadByFeed(own Revisions) PeersAheadByFeed { return make(PeersAheadByFeed, len(own)) }

// Add adds a router, reached over path, to the list of each feed of which it has a newer
// revision than own.
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
