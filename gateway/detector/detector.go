package detector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TickInterval is the time between two ticks. A router probes one other router per tick, so the
	// rate at which each router is probed does not depend on the size of the fleet, and a failed
	// router is probed within about 100 ms on average.
	TickInterval = 100 * time.Millisecond
	// maxTickDelay is how late a tick may be. After a later tick, outstanding probes are dropped
	// without being evaluated.
	maxTickDelay = TickInterval
	// deadAfter is the time from the unanswered probe after which a router counts as dead. The
	// suspicion starts suspectAfter after the probe. That leaves 600 ms, two and a half heartbeat
	// rounds of a large fleet, in which the suspicion reaches nearly all routers and a refutation
	// can overtake it.
	deadAfter = 1000 * time.Millisecond
	// minSuspicionTime is how long a router waits for a refutation after it has received a
	// suspicion, however old the suspicion is: one heartbeat round of a large fleet.
	minSuspicionTime = 300 * time.Millisecond
)

// Detector is the failure detector of one router. Create one with New.
type Detector struct {
	self        string
	incarnation uint32
	peers       map[string]*peer
	ring        []*peer // ordered by ringKey, which differs per router, so that routers probe different targets
	nextProbe   int     // index in ring of the next router to probe
	probed      []*peer // routers with an outstanding probe
	suspects    []*peer // suspected routers that do not count as dead yet
	updates     []*pendingUpdate
	lastTick    time.Duration
	cmds        []Cmd // commands of the current Update
}

// New returns the failure detector of the router at address self.
func New(self string, incarnation uint32) *Detector {
	return &Detector{self: self, incarnation: incarnation, peers: make(map[string]*peer)}
}

// Update handles a message and returns the commands to execute.
func (d *Detector) Update(msg Msg) []Cmd {
	d.cmds = nil
	switch msg := msg.(type) {
	case HeartbeatMsg:
		d.onHeartbeat(msg)
	case GossipMsg:
		for _, u := range msg.Updates {
			d.applyUpdate(msg.Now, u)
		}
	case TickMsg:
		d.tick(msg)
	case ForgetMsg:
		d.forget(msg.Address)
	}
	return d.cmds
}

// Alive reports whether a router counts as alive. One from which no heartbeat has arrived yet does.
func (d *Detector) Alive(address string, now time.Duration) bool {
	p := d.peers[address]
	return p == nil || !p.dead(now)
}

// onHeartbeat records a heartbeat, and adds its sender to the ring if it is new.
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

// markAlive records that a router was alive at a time. That refutes an older suspicion, unless a
// later probe went unanswered: the suspicion then counts from that probe.
func (d *Detector) markAlive(p *peer, at time.Duration) {
	if at <= p.lastAlive {
		return
	}
	p.lastAlive = at
	switch {
	case p.suspectedSince == 0 || p.suspectedSince >= at:
	case p.lastUnanswered > at: // a later probe went unanswered
		p.suspectedSince = p.lastUnanswered
		d.enqueueUpdate(p, false, p.suspectedSince)
	default:
		p.suspectedSince = 0
		d.enqueueUpdate(p, true, at)
	}
}

// applyUpdate handles what another router reports about a third one, or about this one.
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

// suspect marks a router as suspected since a time.
func (d *Detector) suspect(p *peer, now, since time.Duration) {
	p.suspectedSince, p.suspicionSeen, p.lastUnanswered = max(since, 1), now, since
	d.suspects = append(d.suspects, p)
	d.enqueueUpdate(p, false, since)
}

// tick evaluates the outstanding probes and probes the next routers.
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

// expireSuspicions queues another update about each suspect that now counts as dead. Where many
// routers fail at once, earlier updates may have gone to routers that had failed too.
func (d *Detector) expireSuspicions(now time.Duration) {
	d.suspects = slices.DeleteFunc(d.suspects, func(p *peer) bool {
		if p.dead(now) {
			d.enqueueUpdate(p, false, p.suspectedSince)
			p.update.sendsLeft = sendsPerUpdate
		}
		return p.suspectedSince == 0 || p.dead(now)
	})
}

// forget removes all state of a router.
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
	d.updates = slices.DeleteFunc(d.updates, func(u *pendingUpdate) bool { return u.peer == p })
}
