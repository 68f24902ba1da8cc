package feed

import (
	"slices"

	"github.com/croftvale/croftvale/gateway/serverlist"
	"github.com/croftvale/croftvale/rollout"
)

// Rollouts takes in what roll-outs are decided on. Its methods must not block.
type Rollouts interface {
	// SetOrders brings newer orders, SetRecords newer records.
	SetOrders(Listing[rollout.Order])
	SetRecords(Listing[rollout.Record])
	// SetVersions tells which versions the listed servers of each service have, sorted.
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

// insert adds a version to sorted ones, once.
func insertVersion(versions []string, version string) []string {
	i, found := slices.BinarySearch(versions, version)
	if found {
		return versions
	}
	return slices.Insert(versions, i, version)
}
