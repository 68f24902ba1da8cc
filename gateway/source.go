package gateway

import (
	"github.com/croftvale/croftvale/gateway/cluster"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/rollouts"
)

// Source provides the state that all routers share and the list of other routers, and
// stores records of rollouts, quarantine, versions and streams.
type Source interface {
	feed.Source
	cluster.Registry
	rollouts.Store
	QuarantineStore
	VersionStore
	StreamStore
}
