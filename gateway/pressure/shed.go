package pressure

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shedTarget is the lag that shedding aims at: a router refuses new requests, whose callers
	// then try other routers, to keep its lag from exceeding it.
	shedTarget = 12 * time.Millisecond
	// shedErrorGain and shedTrendGain are the gains of a proportional-integral controller after RFC
	// 8033. A second of lag above the target adds shedErrorGain to the shed fraction per tick, and
	// a second by which the lag has grown since the last tick adds shedTrendGain.
	shedErrorGain = 0.4
	shedTrendGain = 3.0
	// maxShedStep bounds the change of the fraction per tick.
	maxShedStep = 0.1
	// As the lag rises from shedSomeLag to shedAllLag, the minimum fraction that is shed rises from
	// 0 to 1. At such a lag ticks are too rare to adjust the fraction step by step, and reading
	// late requests is wasted work.
	shedSomeLag = 40 * time.Millisecond
	shedAllLag  = 100 * time.Millisecond
	// shedDecay is the fraction that remains after a tick with a lag below half the target.
	shedDecay = 0.97
	// minShedFraction is the smallest fraction that is used; smaller ones become 0.
	minShedFraction = 0.001
)

// shedder computes the fraction of the new requests that a router short of CPU time refuses at
// once, so that their callers try another router. The zero value sheds nothing.
type shedder struct {
	fraction  float64
	lastDelay time.Duration // at the last tick
}

// update records how late a tick came and returns the fraction to shed.
func (s *shedder) update(tickDelay time.Duration) float64 {
	step := shedErrorGain*(tickDelay-shedTarget).Seconds() + shedTrendGain*(tickDelay-s.lastDelay).Seconds()
	s.lastDelay = tickDelay
	minFraction := float64(tickDelay-shedSomeLag) / float64(shedAllLag-shedSomeLag)
	s.fraction = min(max(s.fraction+min(max(step, -maxShedStep), maxShedStep), minFraction, 0), 1)
	if tickDelay < shedTarget/2 {
		s.fraction *= shedDecay
	}
	if s.fraction < minShedFraction {
		s.fraction = 0
	}
	return s.fraction
}

// selectedForShedding reports whether a request is shed, by a hash of its ID. weight is the share
// of the router's work that the request's team asks for, relative to the average over all requests:
// teams that fill the router are shed first.
func selectedForShedding(id string, fraction, weight float64) bool {
	return float64(xxhash.Sum64String(id))/(1<<64) < fraction*weight
}
