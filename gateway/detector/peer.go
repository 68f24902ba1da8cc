package detector

import "time"

// peer is another router that has sent a heartbeat.
type peer struct {
	address        string
	ringKey        uint64 // sort key in the ring
	incarnation    uint32
	answersProbes  bool
	lastAlive      time.Duration  // when it was last known to be alive
	probedAt       time.Duration  // when the outstanding probe was sent; 0: none
	reprobed       bool           // the outstanding probe was repeated
	suspectedSince time.Duration  // time of the unanswered probe that raised the suspicion; 0: not suspected
	lastUnanswered time.Duration  // time of the last probe by any router that went unanswered
	suspicionSeen  time.Duration  // when this router received or raised the suspicion
	update         *pendingUpdate // nil: no update to send
}

// dead reports whether the peer counts as dead.
func (p *peer) dead(now time.Duration) bool {
	return p.suspectedSince > 0 && now-p.suspectedSince >= deadAfter && now-p.suspicionSeen >= minSuspicionTime
}
