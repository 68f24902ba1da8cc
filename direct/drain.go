package direct

import "time"

// Fractions of Options.Drain, the time that a leaving server continues to serve, for which it
// is still used if no other server is available. The rest covers requests in flight and the
// delay until this router is notified.
const (
	lastResortFraction = 0.4
	lapseFraction      = 0.6
)

// lastResortDuration returns how long a leaving server is used if no other server is available.
func (m *Machine) lastResortDuration() time.Duration {
	return m.limitToDrain(maxLastResortTime, lastResortFraction)
}

// lapseDuration returns how long servers are used after their entries have lapsed.
func (m *Machine) lapseDuration() time.Duration { return m.limitToDrain(maxLapseGrace, lapseFraction) }

// limitToDrain returns limit, or a fraction of the drain time if that is known and shorter.
func (m *Machine) limitToDrain(limit time.Duration, fraction float64) time.Duration {
	if m.options.Drain <= 0 {
		return limit
	}
	return min(limit, time.Duration(fraction*float64(m.options.Drain)))
}
