package loads

import "time"

// forget drops all that has not been renewed.
func (e *Exchange) forget(now time.Duration) {
	e.drop(now)
	e.dropTeams(now)
	e.dropRegions(now)
	e.dropCopies(now)
}

// drop forgets the loads that have not been renewed, and the full digests of routers that
// don't report here any more.
func (e *Exchange) drop(now time.Duration) {
	for from := range e.sentFull {
		if _, ok := e.reports[from]; !ok {
			delete(e.sentFull, from)
		}
	}
	for _, lists := range []map[string]list{e.reports, e.sums, e.digests} {
		for from, l := range lists {
			if now-l.at > Hold {
				delete(lists, from)
			}
		}
	}
}
