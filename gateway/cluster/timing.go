package cluster

import "time"

const (
	minPeerTimeout      = time.Second // without a heartbeat a peer counts as away
	maxMissedHeartbeats = 5           // heartbeats that may be missed, where they are rarer
)

// heartbeatInterval is the time between two heartbeats: the more routers there are, the rarer.
func (p *Peers) heartbeatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heartbeatIntervalLocked()
}

// heartbeatIntervalLocked is the time between two heartbeats; p.mu is held.
func (p *Peers) heartbeatIntervalLocked() time.Duration {
	targets := min(len(p.known), heartbeatFanout)
	return max(minHeartbeatInterval, time.Duration(targets)*time.Second/heartbeatsPerSecond)
}

// peerTimeoutLocked is how long a peer counts as there after a heartbeat; p.mu is held.
func (p *Peers) peerTimeoutLocked() time.Duration {
	rounds := max((len(p.known)+heartbeatFanout-1)/heartbeatFanout, 1)
	return max(minPeerTimeout, time.Duration(rounds*maxMissedHeartbeats)*p.heartbeatIntervalLocked())
}
