package cluster

import "time"

const (
	peerLive         = time.Second // without a heartbeat a peer counts as away
	heartbeatsMissed = 5           // heartbeats that may be missed, where they are rarer
)

// every is the time between two heartbeats: the more routers there are, the rarer.
func (p *Peers) every() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interval()
}

// interval is the time between two heartbeats; p.mu is held.
func (p *Peers) interval() time.Duration {
	targets := min(len(p.known), heartbeatFanout)
	return max(heartbeatEvery, time.Duration(targets)*time.Second/heartbeatsHeard)
}

// lasts is how long a peer counts as there after a heartbeat; p.mu is held.
func (p *Peers) lasts() time.Duration {
	rounds := max((len(p.known)+heartbeatFanout-1)/heartbeatFanout, 1)
	return max(peerLive, time.Duration(rounds*heartbeatsMissed)*p.interval())
}
