package detector

import (
	"slices"
	"time"
)

const (
	// probeAfterSilence is the time since a router was last known to be alive before which it is
	// not probed.
	probeAfterSilence = 300 * time.Millisecond
	// reprobeAfter is the time after which an unanswered probe is repeated, directly and through
	// other routers. It is several times the round trip between regions.
	reprobeAfter = 150 * time.Millisecond
	// suspectAfter is the time after the first unanswered probe at which a router is suspected. A
	// router that runs 100 ms late has enough time to answer the second and the indirect probes.
	suspectAfter = 400 * time.Millisecond
	// indirectProbes is the number of other routers through which a router is probed.
	indirectProbes = 3
	// maxExtraProbes is the maximum number of additional probes per tick while other probes are
	// unanswered. Where many routers fail at once, each of them must be probed by some router as
	// quickly as a single failed router would be.
	maxExtraProbes = 5
	// maxRingScan bounds the number of ring entries examined per tick to find a router to probe.
	maxRingScan = 64
)

// cancelProbes drops all outstanding probes without evaluating them.
func (d *Detector) cancelProbes() {
	for _, p := range d.probed {
		p.probedAt = 0
	}
	d.probed = nil
}

// checkProbes evaluates the outstanding probes and returns how many have been repeated and are
// still unanswered.
func (d *Detector) checkProbes(now time.Duration) (unanswered int) {
	d.probed = slices.DeleteFunc(d.probed, func(p *peer) bool {
		waited := now - p.probedAt
		switch {
		case p.probedAt == 0: // removed by ForgetMsg
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

// probeTimedOut records that a router did not answer a probe.
func (d *Detector) probeTimedOut(p *peer, now time.Duration) {
	if p.suspectedSince == 0 {
		d.suspect(p, now, p.probedAt)
	}
	p.lastUnanswered = max(p.lastUnanswered, p.probedAt)
	p.probedAt = 0
}

// probeIndirectly probes a router through the routers that this one probes next, so that repeated
// calls use different ones.
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

// probeNext probes the next router of the ring that was not known to be alive within
// probeAfterSilence.
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
