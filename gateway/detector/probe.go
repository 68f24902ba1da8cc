package detector

import (
	"slices"
	"time"
)

const (
	// probeAfterSilence is how long a router needn't be asked after it was heard of.
	probeAfterSilence = 300 * time.Millisecond
	// reprobeAfter is when a router that doesn't answer is asked again, and through others:
	// several times the time that an answer takes between regions.
	reprobeAfter = 150 * time.Millisecond
	// suspectAfter is when it is suspected: a second question and those through others have
	// had time to be answered by a router that is 100 ms late.
	suspectAfter = 400 * time.Millisecond
	// indirectProbes is how many others a router is asked through.
	indirectProbes = 3
	// maxExtraProbes is how many more a router asks at each tick while others don't answer it: where
	// many are lost at once, each must be asked by somebody as soon as a single one is.
	maxExtraProbes = 5
	// maxRingScan bounds how many routers one tick looks at for one to ask.
	maxRingScan = 64
)

// cancelProbes gives up what was asked, without a judgement.
func (d *Detector) cancelProbes() {
	for _, p := range d.probed {
		p.probedAt = 0
	}
	d.probed = nil
}

// checkProbes looks at those that were asked, and returns how many have not answered in time.
func (d *Detector) checkProbes(now time.Duration) (unanswered int) {
	d.probed = slices.DeleteFunc(d.probed, func(p *peer) bool {
		waited := now - p.probedAt
		switch {
		case p.probedAt == 0: // it is not remembered any more
			return true
		case p.lastAlive >= p.probedAt:
			p.probedAt = 0
			return true
		case waited >= suspectAfter:
			d.probeTimedOut(p, now)
			return true
		case waited >= reprobeAfter && !p.reprobed:
			p.reprobed = true
			d.cmds = append(d.cmds, ProbeCmd{To: p.address})
			d.probeIndirectly(p)
		}
		if p.reprobed {
			unanswered++
		}
		return false
	})
	return unanswered
}

// probeTimedOut notes that a router did not answer.
func (d *Detector) probeTimedOut(p *peer, now time.Duration) {
	if p.suspectedSince == 0 {
		d.suspect(p, now, p.probedAt)
	}
	p.lastUnanswered = max(p.lastUnanswered, p.probedAt)
	p.probedAt = 0
}

// probeIndirectly asks a router through those that are asked next themselves, so that they differ
// from time to time.
func (d *Detector) probeIndirectly(p *peer) {
	sent := 0
	for i := 0; i < min(len(d.ring), maxRingScan) && sent < indirectProbes; i++ {
		other := d.ring[(d.nextProbe+i)%len(d.ring)]
		if other != p && other.answersProbes && other.probedAt == 0 && other.suspectedSince == 0 {
			d.cmds = append(d.cmds, IndirectProbeCmd{Via: other.address, Target: p.address})
			sent++
		}
	}
}

// probeNext asks the next router of the ring that was not heard of lately.
func (d *Detector) probeNext(now time.Duration) {
	for range min(len(d.ring), maxRingScan) {
		p := d.ring[d.nextProbe%len(d.ring)]
		d.nextProbe = (d.nextProbe + 1) % len(d.ring)
		if p.answersProbes && p.probedAt == 0 && p.suspectedSince == 0 && now-p.lastAlive >= probeAfterSilence {
			p.probedAt, p.reprobed = now, false
			d.probed = append(d.probed, p)
			d.cmds = append(d.cmds, ProbeCmd{To: p.address})
			return
		}
	}
}
