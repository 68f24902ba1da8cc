package pressure

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shedTarget is how late a router may run; it passes new requests on to
	// other routers so that it does not run later.
	shedTarget = 12 * time.Millisecond
	// shedGain and shedTrend are what one second of lateness beyond the target,
	// and one second of its growth, add to the part that is shed, at one tick:
	// a proportional integral controller, after RFC 8033.
	shedGain  = 0.4
	shedTrend = 3.0
	// shedStep bounds the change of the part at one tick.
	shedStep = 0.1
	// shedFrom and shedAll bound the lateness between which at least a part of
	// the requests is refused, and all of them: ticks come late then, and what
	// is read late is read in vain.
	shedFrom = 40 * time.Millisecond
	shedAll  = 100 * time.Millisecond
	// shedEase is what remains of the part after a tick within half the target.
	shedEase = 0.97
	// shedLeast is the least part that counts.
	shedLeast = 0.001
)

// shedder works out the part of the new requests that a router without processor
// time refuses at once, so that their callers ask another router. The zero value
// sheds nothing.
type shedder struct {
	part float64
	late time.Duration // at the last tick
}

// note takes in how late a tick came and returns the part to shed.
func (s *shedder) note(late time.Duration) float64 {
	step := shedGain*(late-shedTarget).Seconds() + shedTrend*(late-s.late).Seconds()
	s.late = late
	least := float64(late-shedFrom) / float64(shedAll-shedFrom)
	s.part = min(max(s.part+min(max(step, -shedStep), shedStep), least, 0), 1)
	if late < shedTarget/2 {
		s.part *= shedEase
	}
	if s.part < shedLeast {
		s.part = 0
	}
	return s.part
}

// chosen tells whether a request is among those that are shed, by its id. weight
// is how much of the router's work its team asks for, in parts of the average
// over requests: teams that fill the router are shed first.
func chosen(id string, part, weight float64) bool {
	return float64(xxhash.Sum64String(id))/(1<<64) < part*weight
}
