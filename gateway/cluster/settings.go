package cluster

import (
	"net"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// Settings are the settings of a Cluster.
type Settings struct {
	Self               Member
	Hall               string
	Region             string   // empty: unknown
	Power              float64  // cores that the process may use
	Peers              string   // address to listen on for heartbeats
	Loads              string   // address to listen on for loads
	Origins            string   // address to listen on for the versions that began streams
	Seeds              []string // control addresses of some routers
	FirstStart         bool     // the whole fleet starts for the first time
	DisabledMechanisms direct.DisabledMechanisms
	startNanos         int64 // start of the router, in nanoseconds since 1970
}

// place returns the location of the router.
func (s Settings) place() traffic.Place { return traffic.Place{Hall: s.Hall, Region: s.Region} }

// startupWait returns how long a starting router waits for its peers to send what it would
// otherwise read from the source.
func (s Settings) startupWait() time.Duration {
	if s.FirstStart {
		return firstStartupWait
	}
	return startupWait
}

// isSeed reports whether the router is one of its own seeds, or has none.
func (s Settings) isSeed() bool {
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == s.Self.Address {
			return true
		}
	}
	return len(s.Seeds) == 0
}
