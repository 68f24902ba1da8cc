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

// versionsOf returns, for each service, the sorted versions of its servers.
func versionsOf(list *serverlist.List) map[string][]string {
	out := make(map[string][]string)
	for _, s := range list.Servers {
		out[s.Service] = insert(out[s.Service], s.Version)
	}
	return out
}

// insert adds a version to sorted ones, once.
func insert(versions []string, version string) []string {
	at, found := slices.BinarySearch(versions, version)
	if found {
		return versions
	}
	return slices.Insert(versions, at, version)
}
