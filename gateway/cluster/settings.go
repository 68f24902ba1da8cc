package cluster

import (
	"net"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// Settings are what a router takes part in the fleet with.
type Settings struct {
	Self       Member
	Hall       string
	Region     string   // empty: unknown
	Power      float64  // cores that the process may use
	Peers      string   // other routers' heartbeats, as datagrams
	Loads      string   // other routers' loads, as datagrams
	Seeds      []string // control addresses of some routers
	FirstStart bool     // the whole fleet starts for the first time
	Without    direct.Without
	startNanos int64 // start of the router, in nanoseconds since 1970
}

// place returns where the router is.
func (s Settings) place() traffic.Place { return traffic.Place{Hall: s.Hall, Region: s.Region} }

// startupWait returns how long a router that starts waits for others to bring what it would
// read from the source.
func (s Settings) startupWait() time.Duration {
	if s.FirstStart {
		return firstStartupWait
	}
	return startupWait
}

// isSeed tells whether a router is one of its own seeds, or has none.
func (s Settings) isSeed() bool {
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == s.Self.Address {
			return true
		}
	}
	return len(s.Seeds) == 0
}
