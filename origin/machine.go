package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// TickInterval is the time between two ticks, and so the longest time that a record waits to
	// be sent.
	TickInterval = 20 * time.Millisecond
	// IdleInterval is the time between two ticks of an idle machine, and between two removals of
	// expired state.
	IdleInterval = time.Second
	// maxRecordsPerMessage keeps a message within one packet of an Ethernet network.
	maxRecordsPerMessage = 100
	// resharedPerTick bounds the records that are checked in one tick after a change of the
	// routers.
	resharedPerTick = 256
)

// Machine decides which records one router keeps, sends and asks for. Create one with NewMachine.
type Machine struct {
	self     Router
	routers  []Router // other live routers that keep records
	home     []Router // those of them that hold the records of this router's streams
	records  table
	versions recentVersions
	sharing  map[string]bool     // services whose records are sent to other routers
	outgoing map[string][]Record // by the router that they go to

	// unchecked are the records whose holders may have changed since home was previousHome.
	unchecked    []Key
	previousHome []Router

	lookups    map[uint64]*lookup // by number of the query
	lastNumber uint64
	reading    bool // the source's versions are being read
	expiredAt  time.Duration
	cmds       []Cmd
}

// NewMachine returns a machine that knows no other routers yet. firstStart reports that the whole
// fleet starts for the first time, so that no stream can have begun before.
func NewMachine(self Router, firstStart bool) *Machine {
	return &Machine{
		self: self, versions: newRecentVersions(firstStart), sharing: make(map[string]bool),
		outgoing: make(map[string][]Record), lookups: make(map[uint64]*lookup),
	}
}

// Update processes a message and returns the commands to carry out. The slice is valid until the
// next call.
func (m *Machine) Update(msg Msg) []Cmd {
	m.cmds = m.cmds[:0]
	switch msg := msg.(type) {
	case BegunMsg:
		m.begin(msg)
	case EndedMsg:
		m.end(msg.Key)
	case LookupMsg:
		m.startLookup(msg)
	case RoutersMsg:
		m.setRouters(msg.Routers)
	case ListedMsg:
		m.versions.setListed(msg.Now, msg.Services)
		m.updateSharing(msg.Now)
	case StoredMsg:
		m.handleStored(msg)
	case RecordsMsg:
		for _, r := range msg.Records {
			m.records.put(msg.Now, r.Key, entry{version: r.Version, expiresAt: msg.Now + clampLifetime(r.Lifetime), shared: true})
		}
	case QueryMsg:
		m.answer(msg)
	case AnswerMsg:
		m.handleAnswer(msg)
	case LeaveMsg:
		m.leave(msg.Now)
	case TickMsg:
		m.tick(msg.Now)
	}
	return m.cmds
}

func (m *Machine) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func clampLifetime(d time.Duration) time.Duration { return min(max(d, MinLifetime), MaxLifetime) }

// begin records a stream of this router. Its record is sent to other routers if streams of the
// service may have begun at several versions.
func (m *Machine) begin(msg BegunMsg) {
	r := msg.Record
	m.records.put(msg.Now, r.Key, entry{version: r.Version, expiresAt: msg.Now + clampLifetime(r.Lifetime), service: msg.Service})
	m.versions.known.add(msg.Service, r.Version, msg.Now+versionRetention)
	m.updateSharing(msg.Now)
	if m.sharing[msg.Service] {
		m.share(msg.Now, r.Key)
	}
}

// end drops the entry of a stream of this router, unless other routers may ask for it.
func (m *Machine) end(key Key) {
	if e := m.records.entries[key]; !e.shared {
		m.records.remove(key)
	}
}

// share queues a record for its holders.
func (m *Machine) share(now time.Duration, key Key) {
	e, ok := m.records.get(now, key)
	if !ok || e.version == "" {
		return
	}
	for _, h := range holders(key, m.home) {
		m.queue(now, h.Address, key, e)
	}
	e.shared = true
	m.records.entries[key] = e
}

func (m *Machine) queue(now time.Duration, to string, key Key, e entry) {
	m.outgoing[to] = append(m.outgoing[to], Record{Key: key, Version: e.version, Lifetime: e.expiresAt - now})
}

// ofRegion returns the routers of a region, or all if these are too few.
func ofRegion(region string, routers []Router) []Router {
	var out []Router
	for _, r := range routers {
		if r.Region == region {
			out = append(out, r)
		}
	}
	if len(out) < copies {
		return routers
	}
	return out
}

// updateSharing begins to share the records of services that have come to have several versions, and
// ends that for those with one. Streams that began while there was one are shared then.
func (m *Machine) updateSharing(now time.Duration) {
	for _, service := range m.versions.services() {
		several := m.versions.several(service)
		if several && !m.sharing[service] {
			m.shareAll(now, service)
		}
		m.sharing[service] = several
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
}

// reshare sends some of the records whose holders have changed to their new holders.
func (m *Machine) reshare(now time.Duration) {
	n := min(len(m.unchecked), resharedPerTick)
	for _, key := range m.unchecked[:n] {
		e, ok := m.records.get(now, key)
		if !ok || !e.shared || e.version == "" {
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

func (m *Machine) tick(now time.Duration) {
	m.advanceLookups(now)
	m.reshare(now)
	m.flush()
	if now-m.expiredAt >= IdleInterval {
		m.expiredAt = now
		m.records.expire(now)
		m.versions.expire(now)
		m.updateSharing(now)
	}
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

// Idle reports whether nothing is to be done for an IdleInterval.
func (m *Machine) Idle() bool {
	return len(m.outgoing) == 0 && len(m.lookups) == 0 && len(m.unchecked) == 0
}

// Keep returns the versions that the source should keep, by service: those of services whose streams
// may have begun at several. It returns false until the versions are complete.
func (m *Machine) Keep() (map[string][]string, bool) {
	out := make(map[string][]string)
	for _, service := range m.versions.services() {
		if m.versions.several(service) {
			out[service] = m.versions.of(service)
		}
	}
	return out, m.versions.complete
}
