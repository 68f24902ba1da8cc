package gateway

import (
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// A backup of a stream is asked for after a pause of minStreamStall, or of
	// streamStallPauseFactor times the route's longest pause if that is longer.
	minStreamStall         = 800 * time.Millisecond
	streamStallPauseFactor = 4
	// stallObjectiveFactor times the objective is the time after which a backup is asked for
	// of a repeatable request without a response. Streams use streamStallObjectiveFactor.
	stallObjectiveFactor       = 0.6
	streamStallObjectiveFactor = 3.0
	// stallEstimateFactor is the shortest stall timeout, as a multiple of the estimated time
	// to the first event.
	stallEstimateFactor = 3
)

// firstEventTimeout returns how long the server may stay silent before its response until a backup is
// asked for. It returns 0 if there is no limit.
func (a *attempt) firstEventTimeout() time.Duration { return a.limitSilence(a.firstEventStall()) }

// firstEventStall returns how long no response means that the server is slower than it should be.
func (a *attempt) firstEventStall() time.Duration {
	route := a.x.route
	factor := stallObjectiveFactor
	if route.Kind == direct.Stream {
		factor = streamStallObjectiveFactor
	}
	return max(time.Duration(factor*float64(route.Objective)), stallEstimateFactor*a.cmd.PlacementBasis.Estimate)
}

// eventTimeout returns how long the server may stay silent before the next event until a backup is
// asked for. It returns 0 if there is no limit.
func (a *attempt) eventTimeout() time.Duration {
	if !a.forwarding && a.afterEvent == "" {
		return a.firstEventTimeout()
	}
	return a.limitSilence(max(minStreamStall, streamStallPauseFactor*a.x.route.Pause))
}

// limitSilence returns a limit on the server's silence, or 0 if no other attempt is allowed or the
// request's deadline comes first.
func (a *attempt) limitSilence(timeout time.Duration) time.Duration {
	if !a.x.route.MayRepeat() || a.x.route.Attempts < 2 || !a.x.front.core.disabled.Enabled(direct.StallTimeout) || timeout >= a.timeLeft() {
		return 0
	}
	return timeout
}
