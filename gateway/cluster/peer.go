package cluster

import (
	"time"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// peer is another router.
type peer struct {
	address    string
	place      traffic.Place
	power      float64
	shed       float64
	yields     bool
	startNanos int64
	// sourceLost says that its last call to the source failed.
	sourceLost  bool
	seq         uint64
	lastHeard   time.Duration // 0: never
	added       time.Duration
	restartedAt time.Duration // when another life was first heard; 0: never
	revisions   feed.Revisions
	live        bool
}

// heardWithin tells whether a heartbeat of the peer has come lately.
func (p *peer) heardWithin(now, limit time.Duration) bool {
	return p.lastHeard > 0 && now-p.lastHeard <= limit
}

// settling tells whether a router has just been started again: it leads nothing yet. In a
// fleet that starts, nobody is taken for that.
func (p *peer) settling(now time.Duration) bool {
	return p.restartedAt > 0 && now-p.restartedAt < settleTime
}
