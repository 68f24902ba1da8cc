package feed

import (
	"slices"

	"github.com/croftvale/croftvale/gateway/serverlist"
	"github.com/croftvale/croftvale/rollout"
)

// Rollouts receives the data that rollout decisions depend on. Its methods must not block.
type Rollouts interface {
	// SetOrders and SetRecords replace the orders and the records by newer ones.
	SetOrders(Listing[rollout.Order])
	SetRecords(Listing[rollout.Record])
	// SetVersions replaces the sorted versions of the listed servers, by service.
	SetVersions(map[string][]string)
}

// versionsByService returns, for each service, the sorted versions of its servers.
func versionsByService(list *serverlist.List) map[string][]string {
	out := make(map[string][]string)
	for _, s := range list.Servers {
		out[s.Service] = insertVersion(out[s.Service], s.Version)
	}
	return out
}

// insertVersion inserts a version into a sorted list, unless it is already there.
func insertVersion(versions []string, version string) []string {
	i, found := slices.BinarySearch(versions, version)
	if found {
		return versions
	}
	return slices.Insert(versions, i, version)
}
