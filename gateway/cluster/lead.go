package cluster

import "github.com/croftvale/croftvale/gateway/feed"

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
			out.Add(own, address, p.place.PathTo(peer.place), peer.knows)
		}
	}
	return out
}
