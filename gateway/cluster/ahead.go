package cluster

import "github.com/croftvale/croftvale/gateway/feed"

// Ahead returns, by feed, the live routers that have a newer revision than this one.
func (p *Peers) Ahead() feed.PeersAheadByFeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.deps.Feeds.Revisions()
	out := feed.NewPeersAheadByFeed(own)
	now := p.deps.StateMachine.Now()
	timeout := p.peerTimeoutLocked()
	for address, peer := range p.known {
		if p.isAlive(peer, now, timeout) {
			out.Add(own, address, p.place.PathTo(peer.place), peer.revisions)
		}
	}
	return out
}
