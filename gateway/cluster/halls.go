package cluster

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// PathTo returns the path to another router; one that has not been heard of counts as
// being in another hall of the region.
func (p *Peers) PathTo(address string) traffic.Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.known[address]; peer != nil && peer.lastHeard > 0 {
		return p.place.PathTo(peer.place)
	}
	return traffic.BetweenHalls
}

// FirstOfHall tells whether this router is the first of its hall by address, among those
// that are there.
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

// countPeer counts another router of the hall.
func countPeer(h *pressure.Hall, p *peer) {
	h.Routers++
	switch {
	case p.yields:
		h.Yielding++
	case p.shed == 0:
		h.Unloaded++
	}
}

// silentAfter is how long no router of a data hall is heard before the hall counts as
// quiet: at the least two heartbeats of the only router of a hall, in a small fleet.
const silentAfter = 450 * time.Millisecond

// silentHalls returns the data halls of which routers were heard lately and none any
// more, while others are. A late router has not read what it was told.
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
