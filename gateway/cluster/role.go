package cluster

import (
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
)

const (
	// minFollowers is how many routers follow the source, in fleets of more than
	// smallFleet one more. The others learn of changes from them.
	minFollowers = 3
	smallFleet   = 8
)

// stuckAfter is how long a router may know less than another one before it asks
// the source itself.
const stuckAfter = 500 * time.Millisecond

const (
	// settleTime is how long after its start a router leaves following to the
	// seeds: until then it has not heard of enough others to know who is first.
	settleTime = 1500 * time.Millisecond
	// startupWait is how long a router that starts waits for another to bring the
	// list of servers, before it reads it from the source: some calls to a seed that
	// is there. Its callers wait too.
	startupWait = 50 * time.Millisecond
	// firstStartupWait is the same where the whole fleet starts for the first time: it
	// has no callers yet, and hosts start within 0.3 s of one another.
	firstStartupWait = 400 * time.Millisecond
)

// Patience is how long this router waits, as it starts, for others to bring what it would
// read from the source. Seeds read themselves, so that those that start together read a
// few times and not once each.
func (p *Peers) Patience() time.Duration {
	if p.isSeed || !p.without.Uses(direct.Followers) {
		return 0
	}
	return p.startupWait
}

// First tells whether this router is the first of those that follow the source.
func (p *Peers) First() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followersBefore() == 0
}

// HeardAny tells whether another router has been heard of.
func (p *Peers) HeardAny() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.known {
		if peer.live {
			return true
		}
	}
	return false
}

// Follows tells whether this router is one of the few that follow the source, or
// knows less than another for too long.
func (p *Peers) Follows() bool {
	if p.stuck() || !p.without.Uses(direct.Followers) {
		return true
	}
	if p.deps.Decisions.Now() < settleTime {
		return p.isSeed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	live := 0
	for _, peer := range p.known {
		if peer.live {
			live++
		}
	}
	followers := minFollowers
	if live >= smallFleet {
		followers++
	}
	return p.followersBefore() < followers
}

// followersBefore counts the routers that follow the source before this one, of those that are there and
// reach it: first the strongest of each data hall, then the second of each, and so on. So the loss
// of a hall leaves followers in others, and weak hosts have other work. p.mu is held.
func (p *Peers) followersBefore() int {
	own := 0 // place within the hall
	halls := make(map[string]int)
	for address, peer := range p.known {
		switch {
		case !peer.live || peer.sourceLost:
		case peer.place.Hall != p.place.Hall:
			halls[peer.place.Hall]++
		case peer.power > p.power || peer.power == p.power && address < p.self:
			own++
		}
	}
	before := own
	for hall, routers := range halls {
		before += min(routers, own)
		if routers > own && hall < p.place.Hall {
			before++
		}
	}
	return before
}

// stuck tells whether this router has known less than another one for too long:
// what that one knew at the beginning, since where things change all the time
// somebody always knows more.
func (p *Peers) stuck() bool {
	now := p.deps.Decisions.Now()
	knows := p.deps.Feeds.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	if knows.Reaches(p.targetRevisions) {
		p.targetRevisions = p.newest(now)
		p.behindSince = now
	}
	return !knows.Reaches(p.targetRevisions) && now-p.behindSince > stuckAfter
}

// newest returns the newest revisions that live routers know.
func (p *Peers) newest(now time.Duration) feed.Revisions {
	var newest feed.Revisions
	timeout := p.peerTimeoutLocked()
	for _, peer := range p.known {
		if p.isAlive(peer, now, timeout) {
			newest = newest.Newest(peer.revisions)
		}
	}
	return newest
}
