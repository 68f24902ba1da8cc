package loads

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Load is the load that one or more routers put on a server.
type Load struct {
	Server  uint32 // see ServerKey
	Running int32  // requests that were sent to the server and have not ended
	Pending int32  // prompt tokens of requests whose first event has not arrived
}

// ServerKey returns the key of a server in loads, a hash of its ID. If two servers have the same
// key, the loads of both count for each of them.
func ServerKey(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// sum adds up lists of loads. The result is sorted by server key.
func sum(lists ...[]Load) []Load {
	return merge(lists, byServer, func(a *Load, b Load) {
		a.Running += b.Running
		a.Pending += b.Pending
	})
}

func byServer(a, b Load) int { return cmp.Compare(a.Server, b.Server) }
