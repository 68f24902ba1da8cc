package loads

import (
	"maps"
	"time"
)

// dropExpired drops all that has not been renewed.
func (e *Exchange) dropExpired(now time.Duration) {
	e.dropLoads(now)
	e.dropTeams(now)
	e.dropRegions(now)
	e.dropCopies(now)
}

// dropLoads forgets the loads that have not been renewed, and the full digests of routers
// that don't report here any more.
func (e *Exchange) dropLoads(now time.Duration) {
	maps.DeleteFunc(e.sentDigests, func(to string, _ fullDigest) bool {
		_, reports := e.reports[to]
		return !reports
	})
	for _, lists := range []map[string]list{e.reports, e.sums, e.digests} {
		maps.DeleteFunc(lists, func(_ string, l list) bool { return now-l.receivedAt > LoadsTTL })
	}
}
