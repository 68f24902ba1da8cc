package cluster

import (
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
)

const (
	// minFollowers is the number of routers that follow the source; in fleets of more than
	// smallFleet routers there is one more. The other routers receive changes from them.
	minFollowers = 3
	smallFleet   = 8
)

// stuckAfter is how long a router may be behind another one before it calls the source itself.
const stuckAfter = 500 * time.Millisecond

const (
	// warmUpTime is the time after its start in which a router follows the source only if it is a
	// seed: it has not received enough heartbeats yet to determine which routers come first.
	warmUpTime = 1500 * time.Millisecond
	// startupWait is how long a starting router waits for a peer to send the list of servers before
	// it reads the list from the source. It is the time of several calls to a live seed. The
	// router's callers wait too.
	startupWait = 50 * time.Millisecond
	// firstStartupWait is the same if the whole fleet starts for the first time. It has no callers
	// yet, and hosts start within 0.3 s of one another.
	firstStartupWait = 400 * time.Millisecond
)

// StartupWait returns how long this router waits, as it starts, for its peers to send what it would
// otherwise read from the source. Seeds do not wait, so that of the routers that start together
// only the seeds read the source.
func (p *Peers) StartupWait() time.Duration {
	if p.isSeed || !p.disabledMechanisms.Enabled(direct.StoreFollowers) {
		return 0
	}
	return p.startupWait
}

// IsPrimary reports whether this router is the first of those that follow the source.
func (p *Peers) IsPrimary() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followersBefore() == 0
}

// HasLivePeers reports whether a heartbeat of another live router has arrived.
func (p *Peers) HasLivePeers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.known {
		if peer.live {
			return true
		}
	}
	return false
}

// Follows reports whether this router is one of the few that follow the source, or has been behind
// another router for too long.
func (p *Peers) Follows() bool {
	if p.stuck() || !p.disabledMechanisms.Enabled(direct.StoreFollowers) {
		return true
	}
	if p.deps.StateMachine.Now() < warmUpTime {
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

// followersBefore returns the number of routers that follow the source in preference to this one,
// among those that are live and reach it. The most powerful router of each data hall comes first,
// then the second of each, and so on: the loss of a hall leaves followers in other halls, and weak
// hosts are spared. p.mu must be held.
func (p *Peers) followersBefore() int {
	own := 0 // rank within the hall
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

// stuck reports whether this router has been behind another one for too long. It compares with the
// revisions that the other routers had at behindSince: while objects change all the time, some
// router always has a newer revision.
func (p *Peers) stuck() bool {
	now := p.deps.StateMachine.Now()
	own := p.deps.Feeds.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	if own.AtLeast(p.targetRevisions) {
		p.targetRevisions = p.newest(now)
		p.behindSince = now
	}
	return !own.AtLeast(p.targetRevisions) && now-p.behindSince > stuckAfter
}

// newest returns the newest revisions of live routers.
func (p *Peers) newest(now time.Duration) feed.Revisions {
	var newest feed.Revisions
	timeout := p.peerTimeoutLocked()
	for _, peer := range p.known {
		if p.isAlive(peer, now, timeout) {
			newest = newest.Max(peer.revisions)
		}
	}
	return newest
}
