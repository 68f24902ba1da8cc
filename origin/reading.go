package origin

import (
	"maps"
	"slices"
	"time"
)

// storedMaxAge is the longest time from the start of a call that reads the stored versions to the
// start of a lookup that relies on it. A stream that begins at a newer version needs longer to get its
// first event, break and be resumed.
const storedMaxAge = 100 * time.Millisecond

// reading is the state of the calls that read the versions which the source keeps. The zero value has
// made none.
type reading struct {
	inProgress bool
	startedAt  time.Duration // of the call in progress
	// serversAt is when the last call that also read the list of servers, and succeeded, was started.
	hasServers bool
	serversAt  time.Duration
	// succeededAt is when the last call that succeeded was started, and failedAt when the last one that
	// failed ended.
	succeeded, failed     bool
	succeededAt, failedAt time.Duration
}

// isFreshFor reports whether a lookup may rely on what was read last.
func (r *reading) isFreshFor(l *lookup) bool {
	return r.succeeded && r.succeededAt >= l.startedAt-storedMaxAge
}

// hasServersFor reports whether a lookup may rely on the list of servers that was read last.
func (r *reading) hasServersFor(l *lookup) bool {
	return r.hasServers && r.serversAt >= l.startedAt-storedMaxAge
}

// hasFailedSince reports whether a call has failed since a time.
func (r *reading) hasFailedSince(t time.Duration) bool { return r.failed && r.failedAt >= t }

// readFor reads the versions that the source keeps, unless a lookup may rely on an earlier call or one
// is in progress.
func (m *Machine) readFor(now time.Duration, l *lookup) {
	if !m.reading.isFreshFor(l) {
		m.readStored(now, false)
	}
}

// readStored reads the versions that the source keeps, and its list of servers if servers is set, unless a
// call is in progress.
func (m *Machine) readStored(now time.Duration, servers bool) {
	if m.reading.inProgress {
		return
	}
	m.reading.inProgress, m.reading.startedAt = true, now
	m.emit(ReadStoredCmd{Servers: servers})
}

// handleStored takes in what the source keeps, and continues the lookups that wait for it.
func (m *Machine) handleStored(msg StoredMsg) {
	if msg.Err == nil {
		m.versions.setStored(msg.Now, msg.Services)
		m.versions.addListed(msg.Now, msg.Listed)
	}
	m.updateSharing(msg.Now)
	if m.reading.inProgress && msg.Requested {
		m.endReading(msg)
	}
	for _, number := range slices.Sorted(maps.Keys(m.lookups)) {
		if l := m.lookups[number]; l.concluding {
			m.conclude(msg.Now, l)
		}
	}
}

func (m *Machine) endReading(msg StoredMsg) {
	r := &m.reading
	r.inProgress = false
	if msg.Err != nil {
		r.failed, r.failedAt = true, msg.Now
		return
	}
	r.succeeded, r.succeededAt = true, r.startedAt
	if msg.ServersRead {
		r.hasServers, r.serversAt = true, r.startedAt
	}
	m.history.hasRead = true
}
