package traffic

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Kind says what bytes were sent or read for, as logs and metrics name it.
type Kind string

// The kinds of traffic beside the feeds, each of which is a kind of its own.
const (
	Requests   Kind = "requests"   // callers' bodies and answers, between this router and servers
	Heartbeats Kind = "heartbeats" // sent to other routers
	Loads      Kind = "loads"      // lists of loads, sent to other routers
)

// Counter is the meters of a router.
type Counter struct {
	scope  tally.Scope
	mu     sync.Mutex
	meters map[Kind]*Meter
}

// NewCounter returns a counter that counts as metrics too.
func NewCounter(scope tally.Scope) *Counter {
	return &Counter{scope: scope, meters: make(map[Kind]*Meter)}
}

// Meter returns the meter of one kind.
func (c *Counter) Meter(k Kind) *Meter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meters[k] == nil {
		c.meters[k] = newMeter(k, c.scope)
	}
	return c.meters[k]
}

// Sums returns the bytes of each kind since the start.
func (c *Counter) Sums() map[string]Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Sum, len(c.meters))
	for k, m := range c.meters {
		out[string(k)] = m.sum()
	}
	return out
}
