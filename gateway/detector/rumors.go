package detector

import "time"

// copies is in how many datagrams a router tells a piece of news, those to routers that may be gone
// too not counted: with so many, one of nine million hears it from nobody.
const copies = 16

// rumor is news that is still to be told.
type rumor struct {
	peer  *peer
	alive bool
	at    time.Duration // when it was heard of, or asked
	left  int           // datagrams
}

// spread has news told to others, in place of older news of the same router.
func (d *Detector) spread(p *peer, alive bool, at time.Duration) {
	switch r := p.rumor; {
	case r == nil:
		p.rumor = &rumor{peer: p, alive: alive, at: at, left: copies}
		d.rumors = append(d.rumors, p.rumor)
	case r.alive != alive || at > r.at:
		r.alive, r.at, r.left = alive, at, copies
	}
}

// NextUpdates returns what the next datagram to a router tells, most at a time. All news gets its turn.
func (d *Detector) NextUpdates(now time.Duration, to string, most int) []PeerUpdate {
	n := min(most, len(d.rumors))
	if n == 0 {
		return nil
	}
	news := make([]PeerUpdate, 0, n)
	told := d.rumors[:n]
	doubtful := d.doubtful(to)
	rest := append([]*rumor(nil), d.rumors[n:]...)
	for _, r := range told {
		news = append(news, PeerUpdate{Address: r.peer.address, Incarnation: r.peer.incarnation, Alive: r.alive, Age: now - r.at})
		if !doubtful {
			r.left--
		}
		if r.left > 0 {
			rest = append(rest, r)
		} else {
			r.peer.rumor = nil
		}
	}
	d.rumors = rest
	return news
}

// doubtful tells whether a router may be gone, so that it may hear of nothing.
func (d *Detector) doubtful(address string) bool {
	p := d.peers[address]
	return p != nil && (p.suspected > 0 || p.asked > 0 && p.again)
}
