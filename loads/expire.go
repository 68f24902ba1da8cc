package loads

import (
	"maps"
	"time"
)

// dropExpired removes the state that has expired.
func (e *Exchange) dropExpired(now time.Duration) {
	e.dropLoads(now)
	e.dropTeams(now)
	e.dropRegions(now)
	e.dropCopies(now)
}

// dropLoads removes expired loads, and the full digests of routers that no longer report here.
func (e *Exchange) dropLoads(now time.Duration) {
	maps.DeleteFunc(e.sentDigests, func(to string, _ fullDigest) bool {
		_, reports := e.reports[to]
		return !reports
	})
	for _, lists := range []map[string]list{e.reports, e.sums, e.digests} {
		maps.DeleteFunc(lists, func(_ string, l list) bool { return now-l.receivedAt > LoadsTTL })
	}
}
