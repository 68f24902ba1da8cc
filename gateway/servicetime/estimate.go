// Package servicetime estimates how long requests take at their servers.
package servicetime

import "time"

const (
	// meanWeight and deviationWeight are the weights of one request in the estimate.
	meanWeight      = 0.125
	deviationWeight = 0.25
	// longestDeviations is the number of mean deviations above the mean that hardly any request exceeds.
	longestDeviations = 4
)

// Estimate is a running estimate, made from the requests that have ended. The zero value is ready to use and
// knows nothing.
type Estimate struct {
	known           bool
	mean, deviation float64 // seconds
}

// Observe adds a request that was served.
func (e *Estimate) Observe(took time.Duration) {
	if !e.known {
		*e = Estimate{known: true, mean: took.Seconds()}
		return
	}
	difference := took.Seconds() - e.mean
	e.mean += meanWeight * difference
	e.deviation += deviationWeight * (max(difference, -difference) - e.deviation)
}

// ObserveAtLeast adds a request that was given up, and that would have taken longer.
func (e *Estimate) ObserveAtLeast(took time.Duration) {
	if e.known && took.Seconds() > e.mean {
		e.Observe(took)
	}
}

// WithoutStall returns how long a request took, without what it took beyond the mean while the process that
// measured it stalled. Other requests were as late for the same reason, which says nothing about the server.
func (e Estimate) WithoutStall(took, stalled time.Duration) time.Duration {
	if !e.known {
		return took
	}
	return min(took, max(took-stalled, e.Typical()))
}

// IsKnown reports whether a request was served.
func (e Estimate) IsKnown() bool { return e.known }

// Typical returns how long a request takes on average; 0 if that is not known.
func (e Estimate) Typical() time.Duration { return duration(e.mean) }

// Longest returns a time that hardly any request exceeds; 0 if none is known.
func (e Estimate) Longest() time.Duration { return duration(e.mean + longestDeviations*e.deviation) }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
