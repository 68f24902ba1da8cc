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
	// maxTickDelay is how late a tick may come; after a later one what was asked is not judged.
	maxTickDelay = TickInterval
	// deadAfter is when a router that was asked and does not answer counts as gone. From the
	// suspicion on that leaves 600 ms, two and a half rounds of heartbeats in a large fleet, in
	// which the suspicion reaches nearly all routers and a refutation overtakes it.
	deadAfter = 1000 * time.Millisecond
	// minSuspicionTime is how long a router waits for a refutation after it has learned of a
	// suspicion, however old that is: a round of heartbeats in a large fleet.
	minSuspicionTime = 300 * time.Millisecond
)

// Detector is what one router knows of who is there. Make one with New.
type Detector struct {
	self        string
	incarnation uint32
	peers       map[string]*peer
	ring        []*peer // in an order of this router's own, so that routers ask different ones
	nextProbe   int     // place in ring of whom to ask next
	probed      []*peer // whose answers are awaited
	suspects    []*peer // that are suspected and don't count as gone yet
	updates     []*pendingUpdate
	lastTick    time.Duration
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
		d.onHeartbeat(msg)
	case GossipMsg:
		for _, n := range msg.Updates {
			d.applyUpdate(msg.Now, n)
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
	return p == nil || !p.dead(now)
}

// onHeartbeat notes a heartbeat.
func (d *Detector) onHeartbeat(msg HeartbeatMsg) {
	p := d.peers[msg.Address]
	if p == nil {
		p = &peer{address: msg.Address, ringKey: xxhash.Sum64String(d.self + " " + msg.Address)}
		d.peers[msg.Address] = p
		d.insertIntoRing(p)
	}
	if p.incarnation != msg.Incarnation {
		p.incarnation, p.suspectedSince = msg.Incarnation, 0
	}
	p.answersProbes = msg.AnswersProbes
	d.markAlive(p, msg.Now)
}

// markAlive notes that a router was there at a time, and tells that where somebody doubts it.
func (d *Detector) markAlive(p *peer, at time.Duration) {
	if at <= p.lastAlive {
		return
	}
	p.lastAlive = at
	switch {
	case p.suspectedSince == 0 || p.suspectedSince >= at:
	case p.lastUnanswered > at: // it was asked again after that
		p.suspectedSince = p.lastUnanswered
		d.enqueueUpdate(p, false, p.suspectedSince)
	default:
		p.suspectedSince = 0
		d.enqueueUpdate(p, true, at)
	}
}

// applyUpdate takes in what another router told of a third.
func (d *Detector) applyUpdate(now time.Duration, u PeerUpdate) {
	at := now - u.Age
	if u.Address == d.self {
		if !u.Alive && u.Incarnation == d.incarnation {
			d.cmds = append(d.cmds, RefuteCmd{})
		}
		return
	}
	p := d.peers[u.Address]
	switch {
	case p == nil || p.incarnation != u.Incarnation:
	case u.Alive:
		d.markAlive(p, at)
	case p.lastAlive > at:
		d.enqueueUpdate(p, true, p.lastAlive)
	case p.suspectedSince == 0:
		d.suspect(p, now, at)
	default:
		p.lastUnanswered = max(p.lastUnanswered, at)
	}
}

// suspect begins a suspicion.
func (d *Detector) suspect(p *peer, now, since time.Duration) {
	p.suspectedSince, p.suspicionSeen, p.lastUnanswered = max(since, 1), now, since
	d.suspects = append(d.suspects, p)
	d.enqueueUpdate(p, false, since)
}

// tick asks the next router, and judges those that were asked.
func (d *Detector) tick(msg TickMsg) {
	late := msg.Late || msg.Now-d.lastTick > TickInterval+maxTickDelay
	d.lastTick = msg.Now
	d.expireSuspicions(msg.Now)
	if late {
		d.cancelProbes()
		return
	}
	for range 1 + min(d.checkProbes(msg.Now), maxExtraProbes) {
		d.probeNext(msg.Now)
	}
}

// expireSuspicions tells once more of those that count as gone from now on: what was told before went to
// others that are gone too, where many were lost at once.
func (d *Detector) expireSuspicions(now time.Duration) {
	d.suspects = slices.DeleteFunc(d.suspects, func(p *peer) bool {
		if p.dead(now) {
			d.enqueueUpdate(p, false, p.suspectedSince)
			p.update.sendsLeft = sendsPerUpdate
		}
		return p.suspectedSince == 0 || p.dead(now)
	})
}

// forget drops what is known of a router.
func (d *Detector) forget(address string) {
	p := d.peers[address]
	if p == nil {
		return
	}
	delete(d.peers, address)
	if i, found := d.ringIndex(p); found {
		d.ring = slices.Delete(d.ring, i, i+1)
	}
	p.probedAt, p.suspectedSince, p.update = 0, 0, nil
	d.updates = slices.DeleteFunc(d.updates, func(r *pendingUpdate) bool { return r.peer == p })
}
