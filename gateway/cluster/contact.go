package cluster

import "github.com/croftvale/croftvale/origin"

// contact returns how far this router is in touch with the source and the other routers.
func (p *Peers) contact() origin.Contact {
	c := origin.Contact{SourceFailing: p.deps.Feeds.SourceFailing(), Current: true}
	p.mu.Lock()
	defer p.mu.Unlock()
	live := 1
	for _, peer := range p.known {
		if peer.live {
			live++
		}
		if p.deps.Feeds.ServersBehind(peer.revisions) {
			c.Current = false
		}
	}
	c.Majority, c.Members = 2*live > p.members, p.members
	c.Missing = max(p.members, len(p.known)+1) - live
	c.Starting = p.deps.StateMachine.Now() < warmUpTime
	return c
}

// countMembers updates the number of routers that make up the fleet, as far as this one knows. While
// nobody in touch reaches the source, the number does not fall: routers that are cut off would
// otherwise forget the others one by one and take themselves for the whole fleet. p.mu must be held.
func (p *Peers) countMembers() {
	known := 1
	sourceReached := !p.deps.Feeds.SourceFailing()
	for _, peer := range p.known {
		if peer.lastHeard > 0 {
			known++
		}
		sourceReached = sourceReached || peer.live && !peer.sourceLost
	}
	if !sourceReached {
		known = max(known, p.members)
	}
	p.members = known
}

// reportContact reports if this router is out of touch.
func (p *Peers) reportContact() {
	if p.contact().IsLost() {
		p.onContactLost(p.deps.StateMachine.Now())
	}
}
