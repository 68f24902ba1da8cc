package detector

import "time"

// sendsPerUpdate is in how many datagrams a router tells a piece of news, those to routers that may be gone
// too not counted: with so many, one of nine million hears it from nobody.
const sendsPerUpdate = 16

// pendingUpdate is news that is still to be told.
type pendingUpdate struct {
	peer      *peer
	alive     bool
	at        time.Duration // when it was heard of, or asked
	sendsLeft int           // datagrams
}

// enqueueUpdate has news told to others, in place of older news of the same router.
func (d *Detector) enqueueUpdate(p *peer, alive bool, at time.Duration) {
	switch r := p.update; {
	case r == nil:
		p.update = &pendingUpdate{peer: p, alive: alive, at: at, sendsLeft: sendsPerUpdate}
		d.updates = append(d.updates, p.update)
	case r.alive != alive || at > r.at:
		r.alive, r.at, r.sendsLeft = alive, at, sendsPerUpdate
	}
}

// NextUpdates returns what the next datagram to a router tells, most at a time. All news gets its turn.
func (d *Detector) NextUpdates(now time.Duration, to string, limit int) []PeerUpdate {
	n := min(limit, len(d.updates))
	if n == 0 {
		return nil
	}
	out := make([]PeerUpdate, 0, n)
	batch := d.updates[:n]
	unreachable := d.maybeDead(to)
	rest := append([]*pendingUpdate(nil), d.updates[n:]...)
	for _, r := range batch {
		out = append(out, PeerUpdate{Address: r.peer.address, Incarnation: r.peer.incarnation, Alive: r.alive, Age: now - r.at})
		if !unreachable {
			r.sendsLeft--
		}
		if r.sendsLeft > 0 {
			rest = append(rest, r)
		} else {
			r.peer.update = nil
		}
	}
	d.updates = rest
	return out
}

// maybeDead tells whether a router may be gone, so that it may hear of nothing.
func (d *Detector) maybeDead(address string) bool {
	p := d.peers[address]
	return p != nil && (p.suspectedSince > 0 || p.probedAt > 0 && p.reprobed)
}
