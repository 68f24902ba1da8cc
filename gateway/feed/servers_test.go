package feed

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/serverlist"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// versionedServers holds the list of servers at each revision of the source.
type versionedServers struct {
	lists      []direct.Directory
	changedIDs []string // id of the server that changed in each list
}

func (s *versionedServers) change(t *rapid.T) {
	next := direct.Directory{Revision: 1}
	if n := len(s.lists); n > 0 {
		next.Revision = s.lists[n-1].Revision + rapid.Uint64Range(1, 3).Draw(t, "step")
		next.Servers = slices.Clone(s.lists[n-1].Servers)
	}
	id := fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "server"))
	index, found := slices.BinarySearchFunc(next.Servers, id, func(a direct.Server, b string) int {
		if a.ID < b {
			return -1
		} else if a.ID > b {
			return 1
		}
		return 0
	})
	switch {
	case !found:
		next.Servers = slices.Insert(next.Servers, index, direct.Server{ID: id})
	case rapid.Bool().Draw(t, "goes"):
		next.Servers = slices.Delete(next.Servers, index, index+1)
	default:
		next.Servers[index].Draining = !next.Servers[index].Draining
	}
	s.lists = append(s.lists, next)
	s.changedIDs = append(s.changedIDs, id)
}

// TestUpdatesLeadToTheList generates routers that get lists from the source at different revisions,
// and updates from one another that are lost, late or duplicated. Each router's list is always the
// source's list at the same revision.
func TestUpdatesLeadToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source versionedServers
		source.change(t)
		routers := make([]*Servers, 3)
		for i := range routers {
			routers[i] = newTestSet().Servers
		}
		seen := make([]int, len(routers)) // number of lists that each router has seen; 0: it reads the whole list next
		var updates []serverlist.Update
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			router := routers[i]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				source.change(t)
			case 2:
				d := source.lists[len(source.lists)-1]
				if seen[i] == 0 {
					router.OfferAll(&d, "source")
				} else {
					router.OfferChanged(&d, source.changedIDs[seen[i]:], "source")
				}
				seen[i] = len(source.lists)
			case 5:
				seen[i] = 0
			case 3:
				other := rapid.SampledFrom(routers).Draw(t, "other")
				if !other.HasContent() {
					continue
				}
				u := other.updateSince(router.Revision())
				updates = append(updates, u)
				if rapid.Bool().Draw(t, "arrives") {
					router.offerUpdate(&u, "other")
				}
			case 4:
				if len(updates) > 0 {
					u := rapid.SampledFrom(updates).Draw(t, "late")
					router.offerUpdate(&u, "other")
				}
			}
			for _, r := range routers {
				source.requireConsistent(t, r)
			}
		}
	})
}

// requireConsistent requires that a router's list is the source's list at the same revision.
func (s *versionedServers) requireConsistent(t *rapid.T, r *Servers) {
	newest := r.Newest()
	if newest == nil {
		return
	}
	i := slices.IndexFunc(s.lists, func(d direct.Directory) bool { return d.Revision == newest.Revision })
	require.GreaterOrEqual(t, i, 0, "the source never had this revision")
	require.ElementsMatch(t, s.lists[i].Servers, newest.Servers)
}

// TestUpdatesAreSmall changes one of 3,000 servers and checks that another router pulls only that one.
func TestUpdatesAreSmall(t *testing.T) {
	s := newTestSet().Servers
	d := direct.Directory{Revision: 1}
	for i := range 3000 {
		d.Servers = append(d.Servers, direct.Server{ID: fmt.Sprintf("i-%04d", i), Service: "llm", Address: "10.128.0.9:8080", Zone: "hall-a", Slots: 64})
	}
	s.OfferAll(&d, "source")
	next := direct.Directory{Revision: 2, Servers: slices.Clone(d.Servers)}
	next.Servers[7].Draining = true
	s.OfferChanged(&next, []string{next.Servers[7].ID}, "source")
	size := func(since uint64) int {
		var body bytes.Buffer
		encoder := msgpack.NewEncoder(&body)
		encoder.UseArrayEncodedStructs(true)
		encoder.UseCompactInts(true)
		require.NoError(t, encoder.Encode(s.ContentSince(since)))
		return body.Len()
	}
	require.Less(t, size(1), 100)
	require.Greater(t, size(0), 100000, "a router without a list gets the whole list")
}
