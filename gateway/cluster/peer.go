package cluster

import (
	"time"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// peer is another router.
type peer struct {
	address string
	place   traffic.Place
	power   float64
	shed    float64
	yields  bool
	life    int64
	// sourceLost says that its last call to the source failed.
	sourceLost bool
	seq        uint64
	heard      time.Duration // 0: never
	added      time.Duration
	restarted  time.Duration // when another life was first heard; 0: never
	knows      feed.Revisions
	live       bool
}

// heardWithin tells whether a heartbeat of the peer has come lately.
func (p *peer) heardWithin(now, lately time.Duration) bool {
	return p.heard > 0 && now-p.heard <= lately
}

// settles tells whether a router has just been started again: it leads nothing yet. In a
// fleet that starts, nobody is taken for that.
func (p *peer) settles(now time.Duration) bool {
	return p.restarted > 0 && now-p.restarted < settleTime
}
