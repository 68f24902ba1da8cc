package cluster

import (
	"time"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// peer is the state of another router.
type peer struct {
	address    string
	place      traffic.Place
	power      float64
	shed       float64
	yields     bool
	startNanos int64
	// sourceLost reports that the router's last call to the source failed.
	sourceLost  bool
	seq         uint64
	lastHeard   time.Duration // 0: never
	added       time.Duration
	restartedAt time.Duration // when a heartbeat with a later start was first received; 0: never
	revisions   feed.Revisions
	// keepsOrigins reports that the router keeps records of the versions that began streams.
	keepsOrigins bool
	live         bool // as of the last heartbeat or round
}

// heardWithin reports whether the last heartbeat of the peer is at most limit old.
func (p *peer) heardWithin(now, limit time.Duration) bool {
	return p.lastHeard > 0 && now-p.lastHeard <= limit
}

// warmingUp reports whether a router has just restarted and thus does not lead yet. When a whole
// fleet starts, no router counts as warming up.
func (p *peer) warmingUp(now time.Duration) bool {
	return p.restartedAt > 0 && now-p.restartedAt < warmUpTime
}
