package direct

import "time"

// maxEstimate bounds estimated durations, so that no sum of them overflows.
const maxEstimate = time.Hour

// milliseconds converts an estimate. Callers name token counts of any size, so it may be absurd.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms*float64(time.Millisecond), 0), float64(maxEstimate)))
}
