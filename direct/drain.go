package direct

import "time"

// Parts of the time that a server which leaves goes on serving (Options.Drain) for which it is still
// used where others are missing. The rest is left for what is on its way: the word to this
// router, and requests to the server.
const (
	lastResortFraction = 0.4
	lapseFraction      = 0.6
)

// lastResortFor is how long a server that leaves is used where no other is there.
func (m *Machine) lastResortDuration() time.Duration {
	return m.limitToDrain(maxLastResortTime, lastResortFraction)
}

// lapsedFor is how long servers are used whose entries went together with many others.
func (m *Machine) lapseDuration() time.Duration { return m.limitToDrain(maxLapseGrace, lapseFraction) }

// withinDrain returns a time, or a part of the drain time where that is known and shorter.
func (m *Machine) limitToDrain(limit time.Duration, fraction float64) time.Duration {
	if m.options.Drain <= 0 {
		return limit
	}
	return min(limit, time.Duration(fraction*float64(m.options.Drain)))
}
