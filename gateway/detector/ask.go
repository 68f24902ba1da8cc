package detector

import (
	"slices"
	"time"
)

const (
	// heardLately is how long a router needn't be asked after it was heard of.
	heardLately = 300 * time.Millisecond
	// againAfter is when a router that doesn't answer is asked again, and through others:
	// several times the time that an answer takes between regions.
	againAfter = 150 * time.Millisecond
	// suspectAfter is when it is suspected: a second question and those through others have
	// had time to be answered by a router that is 100 ms late.
	suspectAfter = 400 * time.Millisecond
	// askedThrough is how many others a router is asked through.
	askedThrough = 3
	// askedMore is how many more a router asks at each tick while others don't answer it: where
	// many are lost at once, each must be asked by somebody as soon as a single one is.
	askedMore = 5
	// searched bounds how many routers one tick looks at for one to ask.
	searched = 64
)

// release gives up what was asked, without a judgement.
func (d *Detector) release() {
	for _, p := range d.asked {
		p.asked = 0
	}
	d.asked = nil
}

// judge looks at those that were asked, and returns how many have not answered in time.
func (d *Detector) judge(now time.Duration) (silent int) {
	d.asked = slices.DeleteFunc(d.asked, func(p *peer) bool {
		waited := now - p.asked
		switch {
		case p.asked == 0: // it is not remembered any more
			return true
		case p.heard >= p.asked:
			p.asked = 0
			return true
		case waited >= suspectAfter:
			d.unanswered(p, now)
			return true
		case waited >= againAfter && !p.again:
			p.again = true
			d.cmds = append(d.cmds, ProbeCmd{To: p.address})
			d.askThroughOthers(p)
		}
		if p.again {
			silent++
		}
		return false
	})
	return silent
}

// unanswered notes that a router did not answer.
func (d *Detector) unanswered(p *peer, now time.Duration) {
	if p.suspected == 0 {
		d.suspect(p, now, p.asked)
	}
	p.lastAsked = max(p.lastAsked, p.asked)
	p.asked = 0
}

// askThroughOthers asks a router through those that are asked next themselves, so that they differ
// from time to time.
func (d *Detector) askThroughOthers(p *peer) {
	through := 0
	for i := 0; i < min(len(d.ring), searched) && through < askedThrough; i++ {
		other := d.ring[(d.next+i)%len(d.ring)]
		if other != p && other.answers && other.asked == 0 && other.suspected == 0 {
			d.cmds = append(d.cmds, IndirectProbeCmd{Via: other.address, Target: p.address})
			through++
		}
	}
}

// askNext asks the next router of the ring that was not heard of lately.
func (d *Detector) askNext(now time.Duration) {
	for range min(len(d.ring), searched) {
		p := d.ring[d.next%len(d.ring)]
		d.next = (d.next + 1) % len(d.ring)
		if p.answers && p.asked == 0 && p.suspected == 0 && now-p.heard >= heardLately {
			p.asked, p.again = now, false
			d.asked = append(d.asked, p)
			d.cmds = append(d.cmds, ProbeCmd{To: p.address})
			return
		}
	}
}
