package serverlist

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// List is a list of servers and the time at which this router received it, on the router's clock.
type List struct {
	direct.Directory
	At time.Duration
}

// Aged returns the list as of a later time, with the remaining cold time of servers reduced.
func (l *List) Aged(now time.Duration) direct.Directory {
	out := l.Directory
	out.Servers = slices.Clone(l.Servers)
	for i := range out.Servers {
		out.Servers[i].ColdFor = max(out.Servers[i].ColdFor-(now-l.At), 0)
	}
	return out
}
