package pressure

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shedTarget is how late a router may run; it passes new requests on to
	// other routers so that it does not run later.
	shedTarget = 12 * time.Millisecond
	// shedErrorGain and shedTrend are what one second of lateness beyond the target,
	// and one second of its growth, add to the part that is shed, at one tick:
	// a proportional integral controller, after RFC 8033.
	shedErrorGain = 0.4
	shedTrendGain = 3.0
	// maxShedStep bounds the change of the part at one tick.
	maxShedStep = 0.1
	// shedSomeLag and shedAll bound the lateness between which at least a part of
	// the requests is refused, and all of them: ticks come late then, and what
	// is read late is read in vain.
	shedSomeLag = 40 * time.Millisecond
	shedAllLag  = 100 * time.Millisecond
	// shedDecay is what remains of the part after a tick within half the target.
	shedDecay = 0.97
	// minShedFraction is the least part that counts.
	minShedFraction = 0.001
)

// shedder works out the part of the new requests that a router without processor
// time refuses at once, so that their callers ask another router. The zero value
// sheds nothing.
type shedder struct {
	fraction float64
	late     time.Duration // at the last tick
}

// update takes in how late a tick came and returns the part to shed.
func (s *shedder) update(late time.Duration) float64 {
	step := shedErrorGain*(late-shedTarget).Seconds() + shedTrendGain*(late-s.late).Seconds()
	s.late = late
	least := float64(late-shedSomeLag) / float64(shedAllLag-shedSomeLag)
	s.fraction = min(max(s.fraction+min(max(step, -maxShedStep), maxShedStep), least, 0), 1)
	if late < shedTarget/2 {
		s.fraction *= shedDecay
	}
	if s.fraction < minShedFraction {
		s.fraction = 0
	}
	return s.fraction
}

// selectedForShedding tells whether a request is among those that are shed, by its id. weight
// is how much of the router's work its team asks for, in parts of the average
// over requests: teams that fill the router are shed first.
func selectedForShedding(id string, fraction, weight float64) bool {
	return float64(xxhash.Sum64String(id))/(1<<64) < fraction*weight
}
