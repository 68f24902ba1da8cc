package rollout

import "time"

const (
	// The margin is the time between the last write and the deadline. It suffices for a store
	// that is slow or responds with 503 once.
	marginFraction = 0.06
	minMargin      = 800 * time.Millisecond
	maxMargin      = 2 * time.Second
	// The drain is the time in which old servers finish their requests before `completed` stops
	// them. Streams can't go on at the target, so those that take longer are lost. It is a fraction
	// of the order, since a version that turns bad during this time gets all requests.
	drainFraction = 0.08
	minDrain      = 1200 * time.Millisecond
	maxDrain      = 8 * time.Second
	// The ramp is short, as a version that is bad only under load costs most there, but each of
	// its steps is long enough to show that.
	rampFraction = 0.06
	minRamp      = 800 * time.Millisecond
	maxRamp      = 2500 * time.Millisecond
	// maxReservedFraction is the largest fraction of an order's time for margin, drain and ramp
	// together. Only short orders reach it; the rest is needed for evaluation.
	maxReservedFraction = 0.7
	// rampSteps is the number of steps from Quarter to All.
	rampSteps = 2
	// minStepFraction is the least fraction of their planned time that the ramp's steps and the
	// drain last if the evidence arrives late.
	minStepFraction = 0.3
	// graceFraction is the fraction of the margin for a router that confirms late. After it, a
	// rollout that is not done is rolled back while there is still time to write the status.
	graceFraction = 0.5
)

// timeline holds the ages of an order at which its steps are due.
type timeline struct {
	rampAt          time.Duration // stage Quarter, if the version is good
	latestRampAt    time.Duration // latest age for stage Quarter
	minStepInterval time.Duration // least time between steps, if the evidence arrives late
	stepInterval    time.Duration // planned time between steps
	writeAt         time.Duration // final status, even if requests still run on old servers
	rejectAt        time.Duration // rollback of a rollout that has not reached the last stage everywhere
	deadline        time.Duration
}

func newTimeline(within time.Duration) timeline {
	margin := clampedFraction(within, marginFraction, minMargin, maxMargin)
	drain := clampedFraction(within, drainFraction, minDrain, maxDrain)
	ramp := clampedFraction(within, rampFraction, minRamp, maxRamp)
	reserved := margin + drain + ramp
	if maxReserved := scale(within, maxReservedFraction); reserved > maxReserved {
		shrink := float64(maxReserved) / float64(reserved)
		margin, drain, ramp = scale(margin, shrink), scale(drain, shrink), scale(ramp, shrink)
	}
	t := timeline{deadline: within, writeAt: within - margin}
	t.rejectAt = t.writeAt + scale(margin, graceFraction)
	t.rampAt = t.writeAt - drain - ramp
	t.stepInterval = ramp / rampSteps
	t.minStepInterval = scale(t.stepInterval, minStepFraction)
	t.latestRampAt = t.writeAt - scale(drain+ramp, minStepFraction)
	return t
}

func clampedFraction(within time.Duration, fraction float64, lowest, highest time.Duration) time.Duration {
	return min(max(scale(within, fraction), lowest), highest)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// stageAt returns the age at which a stage of the ramp, Quarter or higher, is planned.
func (t timeline) stageAt(s Stage) time.Duration {
	return t.rampAt + time.Duration(s-Quarter)*t.stepInterval
}
