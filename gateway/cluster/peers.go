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
)

// peerForget is how long a peer is remembered that is not heard of.
const peerForget = 60 * time.Second

// Peers is what a router knows of the other routers.
type Peers struct {
	self  string
	place traffic.Place
	parts Dependencies
	seeds int
	// isSeed says that routers which start ask this one, or that it has no others to ask.
	isSeed bool
	// patience is how long this router waits, as it starts, for others to bring what
	// it would read from the source.
	patience    time.Duration
	without     direct.DisabledMechanisms // mechanisms that are switched off
	mu          sync.Mutex
	wanted      feed.Revisions // newest that others knew at behindSince
	behindSince time.Duration  // when this router was last known to know no less
	known       map[string]*peer
	appeared    []string             // routers that were not there before, since the last round
	heard       func([]loads.Router) // takes the routers that are there
	power       float64
	detector    *detector.Detector
	behind      chan struct{} // a peer knows something newer
}

func newPeers(s Settings, parts Dependencies) *Peers {
	return &Peers{
		self: s.Self.Address, power: s.Power, detector: detector.New(s.Self.Address, incarnationOf(s.life)),
		place: s.place(), parts: parts, without: s.Without,
		seeds: len(s.Seeds), isSeed: s.amongSeeds(), patience: s.patience(), known: make(map[string]*peer),
		behind: make(chan struct{}, 1),
	}
}

// Live returns the addresses of the routers that are there.
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

// Behind is sent on when another router knows something newer.
func (p *Peers) Behind() <-chan struct{} { return p.behind }

// Add makes a router known.
func (p *Peers) Add(address string) {
	if address == p.self || address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[address] == nil {
		p.known[address] = &peer{address: address, added: p.parts.Decisions.Now()}
	}
}

// round picks whom a heartbeat goes to, and tells the machine how many routers
// there are.
func (p *Peers) round() (targets, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.parts.Decisions.Now()
	lasts := p.lasts()
	var lost, away []string
	var there []loads.Router
	var hall pressure.Hall
	for address, peer := range p.known {
		age := now - max(peer.heard, peer.added)
		if p.there(peer, now, lasts) {
			there = append(there, loads.Router{Address: address, Hall: peer.place.Hall, Region: peer.place.Region, Power: peer.power})
			if peer.place.Hall == p.place.Hall {
				addTo(&hall, peer)
			}
		} else if peer.live {
			peer.live = false
			lost = append(lost, address)
		}
		if age > peerForget {
			delete(p.known, address)
			p.detector.Update(detector.ForgetMsg{Address: address})
			continue
		}
		if p.detector.Alive(address, now) {
			targets = append(targets, address)
		} else {
			away = append(away, address)
		}
		if peer.live && len(members) < heartbeatMembers {
			members = append(members, address)
		}
	}
	p.parts.Log.Routers("routers_lost", lost)
	p.parts.Log.Routers("routers_heard", p.appeared)
	p.appeared = nil
	targets = drawTargets(targets, away)
	p.heard(there)
	// A late router has not read what the others said: it keeps what it knew.
	if !p.parts.Pressure.Slow() {
		p.parts.Pressure.SetHall(hall)
	}
	p.parts.Decisions.Update(direct.MembershipMsg{
		Now: now, Routers: max(len(there)+1, p.seeds), ReportTTL: lasts,
		Known: len(p.known) + 1, Rank: p.rank(), SilentHalls: p.quietHalls(now),
	})
	return targets, members
}

// hear takes one heartbeat in, and returns what the detector wants.
func (p *Peers) hear(b heartbeat) (cmds []detector.Cmd) {
	p.Add(b.Address)
	for _, m := range b.Members {
		p.Add(m)
	}
	p.mu.Lock()
	peer := p.known[b.Address]
	if peer == nil || b.Life < peer.life || (b.Life == peer.life && b.Seq <= peer.seq) {
		p.mu.Unlock()
		return nil
	}
	now := p.parts.Decisions.Now()
	if peer.heard > 0 {
		p.parts.Stats.RouterSilence.RecordDuration(now - peer.heard)
	}
	if peer.life > 0 && b.Life > peer.life {
		peer.restarted = now
	}
	peer.life, peer.seq, peer.heard = b.Life, b.Seq, now
	peer.knows = b.Knows
	peer.sourceLost = b.SourceLost
	peer.place = traffic.Place{Hall: b.Hall, Region: b.Region}
	peer.power, peer.shed, peer.yields = b.Power, b.Shed, b.Yields
	if !peer.live {
		peer.live = true
		p.appeared = append(p.appeared, b.Address)
	}
	cmds = p.detector.Update(detector.HeartbeatMsg{
		Now: now, Address: b.Address, Incarnation: incarnationOf(b.Life), AnswersProbes: b.Extension.Answers,
	})
	if news := unpackNews(b.Extension.News); len(news) > 0 {
		cmds = append(cmds, p.detector.Update(detector.GossipMsg{Now: now, Updates: news})...)
	}
	p.mu.Unlock()
	p.parts.Decisions.Update(direct.PeerReportMsg{Now: now, Peer: b.Address, Report: b.report()})
	if !p.parts.Feeds.Revisions().Reaches(b.Knows) {
		notify(p.behind)
	}
	return cmds
}

// drawTargets draws whom a heartbeat goes to, of the routers that are there and those that are away:
// one of the latter, so that a fleet finds together again whose parts were cut off from one another.
func drawTargets(there, away []string) []string {
	shuffle(there)
	there = there[:min(len(there), heartbeatFanout)]
	if len(away) == 0 {
		return there
	}
	there = there[:min(len(there), heartbeatFanout-1)]
	return append(there, away[rand.IntN(len(away))])
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// tick has the detector go on, and returns what it wants.
func (p *Peers) tick() []detector.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.Update(detector.TickMsg{Now: p.parts.Decisions.Now(), Late: p.parts.Pressure.Slow()})
}

// news returns what a heartbeat to another router tells of others.
func (p *Peers) news(to string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return packNews(p.detector.NextUpdates(p.parts.Decisions.Now(), to, newsMost))
}

// there tells whether a router counts as there; p.mu is held.
func (p *Peers) there(peer *peer, now, lasts time.Duration) bool {
	return peer.heardWithin(now, lasts) && p.detector.Alive(peer.address, now)
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
