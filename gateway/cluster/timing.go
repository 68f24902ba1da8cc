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
	targets := min(len(p.known), heartbeatFanout)
	return max(heartbeatEvery, time.Duration(targets)*time.Second/heartbeatsHeard)
}

// live is how long a peer counts as there without a heartbeat.
func (p *Peers) live() time.Duration {
	rounds := max((len(p.known)+heartbeatFanout-1)/heartbeatFanout, 1)
	each := max(heartbeatEvery, time.Duration(min(len(p.known), heartbeatFanout))*time.Second/heartbeatsHeard)
	return max(peerLive, time.Duration(rounds*heartbeatsMissed)*each)
}
