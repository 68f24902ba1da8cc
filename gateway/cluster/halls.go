package cluster

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// PathTo returns the path to another router. A router without a heartbeat so far counts as being in
// another hall of the region.
func (p *Peers) PathTo(address string) traffic.Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.known[address]; peer != nil && peer.lastHeard > 0 {
		return p.place.PathTo(peer.place)
	}
	return traffic.BetweenHalls
}

// FirstOfHall reports whether this router is the first by address of the live routers of its hall.
func (p *Peers) FirstOfHall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.known {
		if peer.live && peer.place.Hall == p.place.Hall && address < p.self {
			return false
		}
	}
	return true
}

// countPeer adds another router of the hall to h.
func countPeer(h *pressure.Hall, p *peer) {
	h.Routers++
	switch {
	case p.yields:
		h.Yielding++
	case p.shed == 0:
		h.Unloaded++
	}
}

// silentAfter is the time without a heartbeat from any router of a data hall after which the hall
// counts as silent. In a small fleet, the only router of a hall sends at least two heartbeats in
// that time.
const silentAfter = 450 * time.Millisecond

// silentHalls returns the data halls whose live routers have all been silent for silentAfter, while
// a heartbeat of another hall has arrived. A late router returns none: it may not have read its
// datagrams yet.
func (p *Peers) silentHalls(now time.Duration) []string {
	if p.deps.Pressure.Slow() {
		return nil
	}
	last := make(map[string]time.Duration)
	newest := time.Duration(0)
	for _, peer := range p.known {
		if peer.lastHeard > 0 && peer.live {
			last[peer.place.Hall] = max(last[peer.place.Hall], peer.lastHeard)
			newest = max(newest, peer.lastHeard)
		}
	}
	var out []string
	for hall, heard := range last {
		if now-heard > silentAfter && newest-heard > silentAfter/2 {
			out = append(out, hall)
		}
	}
	slices.Sort(out)
	return out
}
