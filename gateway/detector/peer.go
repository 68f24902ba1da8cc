package detector

import "time"

// peer is another router that has been heard of.
type peer struct {
	address        string
	ringKey        uint64 // in the ring's order
	incarnation    uint32
	answersProbes  bool
	lastAlive      time.Duration  // last time at which it was there for sure
	probedAt       time.Duration  // when it was asked; 0: it isn't
	reprobed       bool           // it was asked a second time
	suspectedSince time.Duration  // since when it has not answered somebody; 0: it isn't
	lastUnanswered time.Duration  // since when it has not answered somebody else, at the latest
	suspicionSeen  time.Duration  // when this router learned of the suspicion
	update         *pendingUpdate // nil: there is no news of it
}

func (p *peer) dead(now time.Duration) bool {
	return p.suspectedSince > 0 && now-p.suspectedSince >= deadAfter && now-p.suspicionSeen >= minSuspicionTime
}
