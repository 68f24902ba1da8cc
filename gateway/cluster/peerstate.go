package cluster

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/traffic"
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

// PathTo returns the path to another router; one that has not been heard of counts as
// being in another hall.
func (p *Peers) PathTo(address string) traffic.Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.known[address]; peer != nil {
		return traffic.PathTo(p.hall, peer.hall)
	}
	return traffic.BetweenHalls
}

// rank returns this router's place by address among all that it knows.
func (p *Peers) rank() int {
	before := 0
	for address := range p.known {
		if address < p.self {
			before++
		}
	}
	return before
}

// addTo counts another router of the hall.
func addTo(h *pressure.Hall, p *peer) {
	h.Routers++
	switch {
	case p.yields:
		h.Yielding++
	case p.shed == 0:
		h.Easy++
	}
}

// Lead tells which live routers know something newer.
func (p *Peers) Lead() feed.Lead {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.parts.Feeds.Versions()
	out := feed.NewLead(own)
	now := p.parts.Decisions.Now()
	lasts := p.live()
	for address, peer := range p.known {
		if peer.heard > 0 && now-peer.heard <= lasts {
			out.Add(own, address, traffic.PathTo(p.hall, peer.hall), peer.knows)
		}
	}
	return out
}

// FirstOfHall tells whether this router is the first of its hall by address, among those
// that are there.
func (p *Peers) FirstOfHall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.known {
		if peer.live && peer.hall == p.hall && address < p.self {
			return false
		}
	}
	return true
}

// quietAfter is how long no router of a data hall is heard before the hall counts as
// quiet: at the least two heartbeats of the only router of a hall, in a small fleet.
const quietAfter = 450 * time.Millisecond

// quietHalls returns the data halls of which routers were heard lately and none any
// more, while others are. A late router has not read what it was told.
func (p *Peers) quietHalls(now time.Duration) []string {
	if p.parts.Pressure.Slow() {
		return nil
	}
	last := make(map[string]time.Duration)
	newest := time.Duration(0)
	for _, peer := range p.known {
		if peer.heard > 0 && peer.live {
			last[peer.hall] = max(last[peer.hall], peer.heard)
			newest = max(newest, peer.heard)
		}
	}
	var out []string
	for hall, heard := range last {
		if now-heard > quietAfter && newest-heard > quietAfter/2 {
			out = append(out, hall)
		}
	}
	slices.Sort(out)
	return out
}
