package cluster

import "github.com/croftvale/croftvale/gateway/feed"

// Ahead tells which live routers know something newer.
func (p *Peers) Ahead() feed.PeersAheadByFeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.parts.Feeds.Revisions()
	out := feed.NewPeersAheadByFeed(own)
	now := p.parts.Decisions.Now()
	lasts := p.lasts()
	for address, peer := range p.known {
		if p.there(peer, now, lasts) {
			out.Add(own, address, p.place.PathTo(peer.place), peer.knows)
		}
	}
	return out
}
