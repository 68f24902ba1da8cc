package cluster

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/detector"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/origin"
)

// forgetPeerAfter is how long a peer without heartbeats is kept.
const forgetPeerAfter = 60 * time.Second

// Peers holds the state of the other routers.
type Peers struct {
	self      string
	place     traffic.Place
	deps      Dependencies
	seedCount int
	// isSeed reports that this router is a seed, which starting routers ask first, or that it has
	// no seeds to ask.
	isSeed bool
	// startupWait is how long this router waits, as it starts, for its peers to send what it would
	// otherwise read from the source.
	startupWait        time.Duration
	disabledMechanisms direct.DisabledMechanisms
	mu                 sync.Mutex
	targetRevisions    feed.Revisions // newest revisions of live peers at behindSince
	behindSince        time.Duration  // when this router last had all revisions of its peers
	known              map[string]*peer
	newlyLive          []string              // routers that became live since the last round
	onLive             func([]loads.Router)  // receives the live routers
	onOrigins          func([]origin.Router) // receives the live routers that keep records of streams
	onContactLost      func(now time.Duration)
	members            int // routers of the fleet, see countMembers
	power              float64
	detector           *detector.Detector
	behind             chan struct{} // signals that a peer has a newer revision
}

func newPeers(s Settings, deps Dependencies) *Peers {
	return &Peers{
		self: s.Self.Address, power: s.Power, detector: detector.New(s.Self.Address, incarnationOf(s.startNanos)),
		place: s.place(), deps: deps, disabledMechanisms: s.DisabledMechanisms,
		seedCount: len(s.Seeds), isSeed: s.isSeed(), startupWait: s.startupWait(), known: make(map[string]*peer),
		behind: make(chan struct{}, 1), onLive: func([]loads.Router) {}, onOrigins: func([]origin.Router) {}, onContactLost: func(time.Duration) {}, members: 1,
	}
}

// Live returns the addresses of the live routers.
func (p *Peers) Live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, peer := range p.known {
		if peer.live {
			out = append(out, address)
		}
	}
	return out
}

// Behind returns a channel that signals that another router has a newer revision.
func (p *Peers) Behind() <-chan struct{} { return p.behind }

// Add adds a router by its address.
func (p *Peers) Add(address string) {
	if address == p.self || address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[address] == nil {
		p.known[address] = &peer{address: address, added: p.deps.StateMachine.Now()}
	}
}

// startRound picks the targets of a heartbeat and the members it may name, and reports the state of
// the fleet to the state machine.
func (p *Peers) startRound() (targets, members []string) {
	defer p.reportContact() // once the lock is released
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countMembers()
	now := p.deps.StateMachine.Now()
	timeout := p.peerTimeoutLocked()
	var lost, dead []string
	var alive []loads.Router
	var origins []origin.Router
	var hall pressure.Hall
	for address, peer := range p.known {
		age := now - max(peer.lastHeard, peer.added)
		if p.isAlive(peer, now, timeout) {
			alive = append(alive, loads.Router{Address: address, Hall: peer.place.Hall, Region: peer.place.Region, Power: peer.power})
			if peer.keepsOrigins {
				origins = append(origins, origin.Router{Address: address, Hall: peer.place.Hall, Region: peer.place.Region, Start: peer.startNanos})
			}
			if peer.place.Hall == p.place.Hall {
				countPeer(&hall, peer)
			}
		} else if peer.live {
			peer.live = false
			lost = append(lost, address)
		}
		if age > forgetPeerAfter {
			delete(p.known, address)
			p.detector.Update(detector.ForgetMsg{Address: address})
			continue
		}
		if p.detector.Alive(address, now) {
			targets = append(targets, address)
		} else {
			dead = append(dead, address)
		}
		if peer.live && len(members) < membersPerHeartbeat {
			members = append(members, address)
		}
	}
	p.deps.Log.Routers("routers_lost", lost)
	p.deps.Log.Routers("routers_heard", p.newlyLive)
	p.newlyLive = nil
	targets = pickTargets(targets, dead)
	p.onLive(alive)
	p.onOrigins(origins)
	// A late router may not have read its datagrams yet, so it keeps the previous state.
	if !p.deps.Pressure.Slow() {
		p.deps.Pressure.SetHall(hall)
	}
	p.deps.StateMachine.Update(direct.MembershipMsg{
		Now: now, Routers: max(len(alive)+1, p.seedCount), ReportTTL: timeout,
		Known: len(p.known) + 1, Rank: p.rank(), SilentHalls: p.silentHalls(now),
	})
	return targets, members
}

// onHeartbeat records a heartbeat and returns the commands of the failure detector.
func (p *Peers) onHeartbeat(b heartbeat) (cmds []detector.Cmd) {
	p.Add(b.Address)
	for _, m := range b.Members {
		p.Add(m)
	}
	p.mu.Lock()
	peer := p.known[b.Address]
	now := p.deps.StateMachine.Now()
	if peer == nil || p.isOvertaken(peer, b, now) {
		p.mu.Unlock()
		return nil
	}
	if peer.lastHeard > 0 {
		p.deps.Stats.RouterSilence.RecordDuration(now - peer.lastHeard)
	}
	if peer.startNanos > 0 && b.Life != peer.startNanos {
		peer.restartedAt = now
	}
	peer.startNanos, peer.seq, peer.lastHeard = b.Life, b.Seq, now
	peer.revisions = b.Knows
	peer.sourceLost = b.SourceLost
	peer.place = traffic.Place{Hall: b.Hall, Region: b.Region}
	peer.power, peer.shed, peer.yields = b.Power, b.Shed, b.Yields
	peer.keepsOrigins = b.Extension.Origins
	if !peer.live {
		peer.live = true
		p.newlyLive = append(p.newlyLive, b.Address)
	}
	cmds = p.detector.Update(detector.HeartbeatMsg{
		Now: now, Address: b.Address, Incarnation: incarnationOf(b.Life), AnswersProbes: b.Extension.Answers,
	})
	if updates := unpackGossip(b.Extension.News); len(updates) > 0 {
		cmds = append(cmds, p.detector.Update(detector.GossipMsg{Now: now, Updates: updates})...)
	}
	p.mu.Unlock()
	p.deps.StateMachine.Update(direct.PeerReportMsg{Now: now, Peer: b.Address, Report: b.report()})
	if !p.deps.Feeds.Revisions().AtLeast(b.Knows) {
		notify(p.behind)
	}
	return cmds
}

// isOvertaken reports whether a heartbeat was overtaken by a later one of its router. An earlier start is that of
// a life before, unless the later one counts as lost: the clock of a router may be set back before it restarts.
func (p *Peers) isOvertaken(peer *peer, b heartbeat, now time.Duration) bool {
	if b.Life == peer.startNanos {
		return b.Seq <= peer.seq
	}
	return b.Life < peer.startNanos && peer.heardWithin(now, p.peerTimeoutLocked())
}

// pickTargets picks the targets of a heartbeat at random: most from the live routers, and one from
// those that count as dead, so that parts of a fleet that were disconnected find one another again.
func pickTargets(alive, dead []string) []string {
	shuffle(alive)
	alive = alive[:min(len(alive), heartbeatFanout)]
	if len(dead) == 0 {
		return alive
	}
	alive = alive[:min(len(alive), heartbeatFanout-1)]
	return append(alive, dead[rand.IntN(len(dead))])
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// tick ticks the failure detector and returns its commands.
func (p *Peers) tick() []detector.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.Update(detector.TickMsg{Now: p.deps.StateMachine.Now(), Late: p.deps.Pressure.Slow()})
}

// gossip returns the encoded updates for a heartbeat to another router.
func (p *Peers) gossip(to string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return packGossip(p.detector.NextUpdates(p.deps.StateMachine.Now(), to, maxGossipRows))
}

// isAlive reports whether a router counts as alive. p.mu must be held.
func (p *Peers) isAlive(peer *peer, now, timeout time.Duration) bool {
	return peer.heardWithin(now, timeout) && p.detector.Alive(peer.address, now)
}

// rank returns this router's rank by address among all known routers.
func (p *Peers) rank() int {
	before := 0
	for address := range p.known {
		if address < p.self {
			before++
		}
	}
	return before
}
