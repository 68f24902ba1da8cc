package router

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// stats records the router's metrics. The zero value records nothing.
type stats struct{ scope tally.Scope }

func newStats(scope tally.Scope) stats { return stats{scope: scope} }

func (s stats) refused(kind string) {
	if s.scope != nil {
		s.scope.Tagged(map[string]string{"kind": kind}).Counter("refused").Inc(1)
	}
}

func (s stats) served() {
	if s.scope != nil {
		s.scope.Counter("served").Inc(1)
	}
}

func (s stats) aborted() {
	if s.scope != nil {
		s.scope.Counter("cut").Inc(1)
	}
}

func (s stats) waited(d time.Duration) {
	if s.scope != nil {
		s.scope.Timer("wait").Record(d)
	}
}
