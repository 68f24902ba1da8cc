package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRecordsPerMessage keeps a message within one packet of an Ethernet network.
	maxRecordsPerMessage = 100
	// resharedPerTick bounds the records that are checked in one tick after a change of the
	// routers.
	resharedPerTick = 256
)

// updateSharing begins to share the records of services whose streams may have begun at several
// versions, as far as this router knows, and ends that for the others. Streams that began before are
// shared then.
func (m *Machine) updateSharing(now time.Duration) {
	for _, service := range m.versions.services() {
		share := m.versions.several(service) || !m.versions.isComplete(service)
		if share && !m.sharing[service] {
			m.shareAll(now, service)
			m.emit(StoreStreamsCmd{})
		}
		m.sharing[service] = share
	}
}

// shareAll shares the records of a service's streams that this router serves or served.
func (m *Machine) shareAll(now time.Duration, service string) {
	for _, key := range m.records.order {
		if e, ok := m.records.get(now, key); ok && !e.shared && e.service == service {
			m.share(now, key)
		}
	}
}

// share queues a record for its holders.
func (m *Machine) share(now time.Duration, key Key) {
	e, ok := m.records.get(now, key)
	if !ok || e.version == contradicted {
		return
	}
	m.shareWith(now, key, e, holders(key, m.home))
}

// shareWidely sends the record of a stream whose version is or was unknown to all routers that may be asked
// for it, at once, since those that know a single version need no record to continue a stream.
func (m *Machine) shareWidely(now time.Duration, key Key) {
	e, ok := m.records.get(now, key)
	if !ok || e.version == contradicted {
		return
	}
	m.shareWith(now, key, e, m.askedAnywhere(key))
	m.flush() // a router that knows a single version takes a missing record for that version
	m.confirm(now, key)
}

func (m *Machine) shareWith(now time.Duration, key Key, e entry, routers []*Router) {
	for _, r := range routers {
		m.queue(now, r.Address, key, e)
	}
	e.shared = true
	m.records.entries[key] = e
}

func (m *Machine) queue(now time.Duration, to string, key Key, e entry) {
	m.outgoing[to] = append(m.outgoing[to], Record{Key: key, Version: e.version, Lifetime: e.expiresAt - now})
}

// setRouters sets the other routers that keep records. Records whose holders have changed are sent
// to the new ones with the next ticks.
func (m *Machine) setRouters(routers []Router) {
	routers = hashed(routers)
	if slices.Equal(routers, m.routers) {
		return
	}
	if len(m.unchecked) == 0 {
		m.previousHome = m.home
	}
	m.routers, m.home = routers, ofRegion(m.self.Region, routers)
	m.unchecked = slices.Clone(m.records.order)
	m.confirmAgain()
}

// reshare sends some of the records whose holders have changed to their new holders.
func (m *Machine) reshare(now time.Duration) {
	n := min(len(m.unchecked), resharedPerTick)
	for _, key := range m.unchecked[:n] {
		e, ok := m.records.get(now, key)
		if !ok || !e.shared || e.version == contradicted {
			continue
		}
		old := holders(key, m.previousHome)
		for _, h := range holders(key, m.home) {
			if !contains(old, h) {
				m.queue(now, h.Address, key, e)
			}
		}
	}
	m.unchecked = m.unchecked[n:]
}

// leave sends all records to the routers that hold them without this one.
func (m *Machine) leave(now time.Duration) {
	for _, key := range m.records.order {
		if e, ok := m.records.get(now, key); ok && e.shared {
			m.share(now, key)
		}
	}
	m.flush()
}

// flush sends the queued records.
func (m *Machine) flush() {
	for _, to := range slices.Sorted(maps.Keys(m.outgoing)) {
		for records := range slices.Chunk(m.outgoing[to], maxRecordsPerMessage) {
			m.emit(RecordsCmd{To: to, Records: records})
		}
		delete(m.outgoing, to)
	}
}
