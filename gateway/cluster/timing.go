package cluster

import "time"

const (
	minPeerTimeout      = time.Second // time without a heartbeat after which a peer is not live, in small fleets
	maxMissedHeartbeats = 5           // heartbeats that may be missed in large fleets, where they are less frequent
)

// heartbeatInterval returns the time between two heartbeats, which grows with the number of
// routers.
func (p *Peers) heartbeatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heartbeatIntervalLocked()
}

// heartbeatIntervalLocked returns the time between two heartbeats. p.mu must be held.
func (p *Peers) heartbeatIntervalLocked() time.Duration {
	targets := min(len(p.known), heartbeatFanout)
	return max(minHeartbeatInterval, time.Duration(targets)*time.Second/heartbeatsPerSecond)
}

// peerTimeoutLocked returns how long a peer counts as live after a heartbeat. p.mu must be held.
func (p *Peers) peerTimeoutLocked() time.Duration {
	rounds := max((len(p.known)+heartbeatFanout-1)/heartbeatFanout, 1)
	return max(minPeerTimeout, time.Duration(rounds*maxMissedHeartbeats)*p.heartbeatIntervalLocked())
}
