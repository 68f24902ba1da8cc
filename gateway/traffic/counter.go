package traffic

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Kind is the purpose of sent or read bytes, as logs and metrics name it.
type Kind string

// The kinds of traffic other than feeds. Each feed is a kind of its own.
const (
	Requests   Kind = "requests"   // request bodies and responses between this router and servers
	Heartbeats Kind = "heartbeats" // sent to other routers
	Loads      Kind = "loads"      // load lists, sent to other routers
	Origins    Kind = "origins"    // which version began a stream, sent to other routers
)

// Counter holds the meters of a router, one for each kind of traffic.
type Counter struct {
	scope  tally.Scope
	mu     sync.Mutex
	meters map[Kind]*Meter
}

// NewCounter returns a counter that also reports its bytes as metrics in scope.
func NewCounter(scope tally.Scope) *Counter {
	return &Counter{scope: scope, meters: make(map[Kind]*Meter)}
}

// Meter returns the meter of a kind and creates it at the first call.
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
