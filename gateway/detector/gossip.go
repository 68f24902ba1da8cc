package detector

import "time"

// sendsPerUpdate is the number of datagrams in which each router sends an update, not counting
// those to routers that may be dead. With 16, one router in nine million does not receive an
// update.
const sendsPerUpdate = 16

// pendingUpdate is an update that is still to be sent.
type pendingUpdate struct {
	peer      *peer
	alive     bool
	at        time.Duration // when the router was known to be alive, or was probed
	sendsLeft int           // remaining datagrams
}

// enqueueUpdate queues an update for sending. It replaces an older update about the same router.
func (d *Detector) enqueueUpdate(p *peer, alive bool, at time.Duration) {
	switch u := p.update; {
	case u == nil:
		p.update = &pendingUpdate{peer: p, alive: alive, at: at, sendsLeft: sendsPerUpdate}
		d.updates = append(d.updates, p.update)
	case u.alive != alive || at > u.at:
		u.alive, u.at, u.sendsLeft = alive, at, sendsPerUpdate
	}
}

// NextUpdates returns at most limit updates for the next datagram to a router. It rotates the
// queue, so that every update is sent.
func (d *Detector) NextUpdates(now time.Duration, to string, limit int) []PeerUpdate {
	n := min(limit, len(d.updates))
	if n == 0 {
		return nil
	}
	out := make([]PeerUpdate, 0, n)
	batch := d.updates[:n]
	unreachable := d.maybeDead(to)
	rest := append([]*pendingUpdate(nil), d.updates[n:]...)
	for _, u := range batch {
		out = append(out, PeerUpdate{Address: u.peer.address, Incarnation: u.peer.incarnation, Alive: u.alive, Age: now - u.at})
		if !unreachable {
			u.sendsLeft--
		}
		if u.sendsLeft > 0 {
			rest = append(rest, u)
		} else {
			u.peer.update = nil
		}
	}
	d.updates = rest
	return out
}

// maybeDead reports whether a router may be dead, so that a datagram to it may not be received.
func (d *Detector) maybeDead(address string) bool {
	p := d.peers[address]
	return p != nil && (p.suspectedSince > 0 || p.probedAt > 0 && p.reprobed)
}
