package gateway

import (
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/uber-go/tally/v4"
)

// stats is the router's metrics. Labels come from small fixed sets.
type stats struct {
	scope    tally.Scope
	attempts map[direct.Outcome]tally.Counter
	wait     tally.Histogram
	first    tally.Histogram
	total    tally.Histogram
}

// durations are the bounds of the histograms.
var durations = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newStats(scope tally.Scope) *stats {
	s := &stats{
		scope:    scope,
		attempts: make(map[direct.Outcome]tally.Counter),
		wait:     scope.Histogram("queue_wait", durations),
		first:    scope.Histogram("first_event", durations),
		total:    scope.Histogram("request", durations),
	}
	for o := direct.Done; o <= direct.GivenUp; o++ {
		s.attempts[o] = scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts")
	}
	return s
}

func (s *stats) attempt(o direct.Outcome) { s.attempts[o].Inc(1) }

func (s *stats) request(x *exchange, result, reason string) {
	s.scope.Tagged(map[string]string{"result": result, "reason": reason}).Counter("requests").Inc(1)
	now := x.front.core.now()
	s.total.RecordDuration(now - x.start)
	if x.attempts > 0 {
		s.wait.RecordDuration(x.last.Basis.Waited)
	}
	if x.firstAt > 0 {
		s.first.RecordDuration(x.firstAt - x.start)
	}
}

func (s *stats) turnedAway(reason string) {
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("turned_away").Inc(1)
}
