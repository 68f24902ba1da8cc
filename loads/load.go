package loads

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Load is what some routers have at one server.
type Load struct {
	Server  uint32 // see Key
	Running int32  // requests that were sent and have not ended
	Pending int32  // tokens of prompts whose first event has not come
}

// ServerKey is the short name of a server in loads. Where two servers share one, their
// loads are counted at both.
func ServerKey(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// sum adds lists of loads up, in the order of the keys.
func sum(lists ...[]Load) []Load {
	return merge(lists, byServer, func(a *Load, b Load) {
		a.Running += b.Running
		a.Pending += b.Pending
	})
}

func byServer(a, b Load) int { return cmp.Compare(a.Server, b.Server) }
