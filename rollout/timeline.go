package rollout

import "time"

const (
	// The margin is kept between the last write and the deadline: a store that is slow,
	// or answers 503 once, still gets the write in time.
	marginFraction = 0.06
	minMargin      = 800 * time.Millisecond
	maxMargin      = 2 * time.Second
	// Settling is the time in which old servers finish what they run, before `completed`
	// stops them: most answers of a few seconds end by themselves. It is no longer than
	// that, since a version that turns bad meanwhile has all requests.
	settleFraction = 0.08
	minSettle      = 1200 * time.Millisecond
	maxSettle      = 2400 * time.Millisecond
	// The ramp is short, as a bad version that shows itself only under load costs most
	// there, but gives each step time to show it.
	rampFraction = 0.06
	minRamp      = 800 * time.Millisecond
	maxRamp      = 2500 * time.Millisecond
	// mostReserved is how much of a short order's time margin, settling and ramp may
	// take together; the rest is needed to judge anything.
	maxReservedFraction = 0.7
	// rampSteps are from Quarter to All.
	rampSteps = 2
	// hastyPart is how short steps and settling may become, against those planned, where
	// the evidence came late.
	minStepFraction = 0.3
	// movePart of the settling time is left when streams are moved from old servers:
	// most have ended by themselves by then, and the rest needs time to start anew.
	moveFraction = 0.4
	// gracePart of the margin is for a router that confirms late; after it a roll-out
	// that isn't done is taken back, while there is time to write that.
	graceFraction = 0.5
)

// timeline says at which age of an order its steps are due.
type timeline struct {
	rampAt          time.Duration // Quarter, if the version is good
	latestRampAt    time.Duration // the latest time for that
	minStepInterval time.Duration // least time between steps, when in haste
	stepInterval    time.Duration // between steps as planned
	moveAt          time.Duration
	writeAt         time.Duration // the final status, whatever still runs
	rejectAt        time.Duration
	deadline        time.Duration // the deadline
}

func newTimeline(within time.Duration) timeline {
	margin := clampedFraction(within, marginFraction, minMargin, maxMargin)
	settle := clampedFraction(within, settleFraction, minSettle, maxSettle)
	ramp := clampedFraction(within, rampFraction, minRamp, maxRamp)
	reserved := margin + settle + ramp
	if maxReserved := scale(within, maxReservedFraction); reserved > maxReserved {
		shrink := float64(maxReserved) / float64(reserved)
		margin, settle, ramp = scale(margin, shrink), scale(settle, shrink), scale(ramp, shrink)
	}
	t := timeline{deadline: within, writeAt: within - margin}
	t.rejectAt = t.writeAt + scale(margin, graceFraction)
	t.moveAt = t.writeAt - scale(settle, moveFraction)
	t.rampAt = t.writeAt - settle - ramp
	t.stepInterval = ramp / rampSteps
	t.minStepInterval = scale(t.stepInterval, minStepFraction)
	t.latestRampAt = t.writeAt - scale(settle+ramp, minStepFraction)
	return t
}

func clampedFraction(within time.Duration, fraction float64, lowest, highest time.Duration) time.Duration {
	return min(max(scale(within, fraction), lowest), highest)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// due is the age at which a stage of the ramp is planned.
func (t timeline) stageAt(s Stage) time.Duration {
	return t.rampAt + time.Duration(s-Quarter)*t.stepInterval
}
