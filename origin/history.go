package origin

import "time"

// historyReadDelay is how long a router whose knowledge of earlier versions is incomplete asks other
// routers before it reads the source: their answers cost the source nothing.
const historyReadDelay = 1500 * time.Millisecond

// history is the search for the versions that were in use before this router was in touch. The zero
// value begins at the start of the process.
type history struct {
	since   time.Duration // when this router came into touch
	hasRead bool          // the source has been read since
}

// loseContact reports that versions may come and go without this router's knowledge.
func (m *Machine) loseContact(now time.Duration) {
	m.versions.forgetHistory(now)
	m.history, m.reading.succeeded, m.reading.hasServers = history{since: now}, false, false
	m.updateSharing(now)
}

// searchHistory asks other routers, and then the source, for the earlier versions of services for
// which some may be missing.
func (m *Machine) searchHistory(now time.Duration) {
	clear(m.probes)
	incomplete := false
	for _, service := range m.versions.services() {
		if !m.versions.isComplete(service) {
			incomplete = true
			m.probe(service)
		}
	}
	if incomplete && !m.history.hasRead && now-m.history.since >= historyReadDelay {
		m.readStored(now, false)
	}
}

// probe asks some routers which versions of a service may have begun streams.
func (m *Machine) probe(service string) {
	key := KeyOf(service, "", "")
	for _, r := range holders(key, m.home) {
		m.lastNumber++
		m.probes[m.lastNumber] = service
		m.emit(QueryCmd{To: r.Address, Query: Query{Number: m.lastNumber, Service: service, Key: key}})
	}
}
