package detector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TickInterval is the time between two ticks. A router asks one other at each, so that in a
	// fleet of any size a router is asked by somebody as often, and a lost one within some
	// 100 ms in the mean.
	TickInterval = 100 * time.Millisecond
	// lateTick is how late a tick may come; after a later one what was asked is not judged.
	lateTick = TickInterval
	// goneAfter is when a router that was asked and does not answer counts as gone. From the
	// suspicion on that leaves 600 ms, two and a half rounds of heartbeats in a large fleet, in
	// which the suspicion reaches nearly all routers and a refutation overtakes it.
	goneAfter = 1000 * time.Millisecond
	// doubtAtLeast is how long a router waits for a refutation after it has learned of a
	// suspicion, however old that is: a round of heartbeats in a large fleet.
	doubtAtLeast = 300 * time.Millisecond
)

// Detector is what one router knows of who is there. Make one with New.
type Detector struct {
	self        string
	incarnation uint32
	peers       map[string]*peer
	ring        []*peer // in an order of this router's own, so that routers ask different ones
	next        int     // place in ring of whom to ask next
	asked       []*peer // whose answers are awaited
	doubts      []*peer // that are suspected and don't count as gone yet
	rumors      []*rumor
	ticked      time.Duration
	cmds        []Cmd // of the present Update
}

// New returns the detector of a router.
func New(self string, incarnation uint32) *Detector {
	return &Detector{self: self, incarnation: incarnation, peers: make(map[string]*peer)}
}

// Update takes in what happened and returns what to do.
func (d *Detector) Update(msg Msg) []Cmd {
	d.cmds = nil
	switch msg := msg.(type) {
	case HeartbeatMsg:
		d.hear(msg)
	case GossipMsg:
		for _, n := range msg.Updates {
			d.learn(msg.Now, n)
		}
	case TickMsg:
		d.tick(msg)
	case ForgetMsg:
		d.forget(msg.Address)
	}
	return d.cmds
}

// Alive tells whether a router that has been heard of is there, as far as anybody knows.
func (d *Detector) Alive(address string, now time.Duration) bool {
	p := d.peers[address]
	return p == nil || !p.gone(now)
}

// hear notes a heartbeat.
func (d *Detector) hear(msg HeartbeatMsg) {
	p := d.peers[msg.Address]
	if p == nil {
		p = &peer{address: msg.Address, place: xxhash.Sum64String(d.self + " " + msg.Address)}
		d.peers[msg.Address] = p
		d.insert(p)
	}
	if p.incarnation != msg.Incarnation {
		p.incarnation, p.suspected = msg.Incarnation, 0
	}
	p.answers = msg.AnswersProbes
	d.markAlive(p, msg.Now)
}

// markAlive notes that a router was there at a time, and tells that where somebody doubts it.
func (d *Detector) markAlive(p *peer, at time.Duration) {
	if at <= p.heard {
		return
	}
	p.heard = at
	switch {
	case p.suspected == 0 || p.suspected >= at:
	case p.lastAsked > at: // it was asked again after that
		p.suspected = p.lastAsked
		d.spread(p, false, p.suspected)
	default:
		p.suspected = 0
		d.spread(p, true, at)
	}
}

// learn takes in what another router told of a third.
func (d *Detector) learn(now time.Duration, n PeerUpdate) {
	at := now - n.Age
	if n.Address == d.self {
		if !n.Alive && n.Incarnation == d.incarnation {
			d.cmds = append(d.cmds, RefuteCmd{})
		}
		return
	}
	p := d.peers[n.Address]
	switch {
	case p == nil || p.incarnation != n.Incarnation:
	case n.Alive:
		d.markAlive(p, at)
	case p.heard > at:
		d.spread(p, true, p.heard)
	case p.suspected == 0:
		d.suspect(p, now, at)
	default:
		p.lastAsked = max(p.lastAsked, at)
	}
}

// suspect begins a suspicion.
func (d *Detector) suspect(p *peer, now, since time.Duration) {
	p.suspected, p.doubted, p.lastAsked = max(since, 1), now, since
	d.doubts = append(d.doubts, p)
	d.spread(p, false, since)
}

// tick asks the next router, and judges those that were asked.
func (d *Detector) tick(msg TickMsg) {
	late := msg.Late || msg.Now-d.ticked > TickInterval+lateTick
	d.ticked = msg.Now
	d.confirm(msg.Now)
	if late {
		d.release()
		return
	}
	for range 1 + min(d.judge(msg.Now), askedMore) {
		d.askNext(msg.Now)
	}
}

// confirm tells once more of those that count as gone from now on: what was told before went to
// others that are gone too, where many were lost at once.
func (d *Detector) confirm(now time.Duration) {
	d.doubts = slices.DeleteFunc(d.doubts, func(p *peer) bool {
		if p.gone(now) {
			d.spread(p, false, p.suspected)
			p.rumor.left = copies
		}
		return p.suspected == 0 || p.gone(now)
	})
}

// forget drops what is known of a router.
func (d *Detector) forget(address string) {
	p := d.peers[address]
	if p == nil {
		return
	}
	delete(d.peers, address)
	if i, found := d.find(p); found {
		d.ring = slices.Delete(d.ring, i, i+1)
	}
	p.asked, p.suspected, p.rumor = 0, 0, nil
	d.rumors = slices.DeleteFunc(d.rumors, func(r *rumor) bool { return r.peer == p })
}
