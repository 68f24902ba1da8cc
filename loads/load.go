package loads

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Load is what some routers have at one server.
type Load struct {
	Server  uint32 // see Key
	Running int32  // requests that were sent and have not ended
	Pending int32  // tokens of prompts whose first event has not come
}

// Key is the short name of a server in loads. Where two servers share one, their
// loads are counted at both.
func Key(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// sum adds lists of loads up, in the order of the keys.
func sum(lists ...[]Load) []Load {
	var all []Load
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b Load) int { return cmp.Compare(a.Server, b.Server) })
	out := all[:0]
	for _, l := range all {
		if n := len(out); n > 0 && out[n-1].Server == l.Server {
			out[n-1].Running += l.Running
			out[n-1].Pending += l.Pending
			continue
		}
		out = append(out, l)
	}
	return out
}
