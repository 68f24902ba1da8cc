package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// queryRetryDelay is the time after which a question without an answer is sent once more.
	queryRetryDelay = 40 * time.Millisecond
	// queryTimeout is the time after which a router that has not answered is taken to be lost: the
	// failure detector needs longer.
	queryTimeout = 120 * time.Millisecond
	// LookupTimeout bounds a lookup, including a call to the source.
	LookupTimeout = 500 * time.Millisecond
	// maxLookups bounds the lookups in progress. More of them fail at once.
	maxLookups = 512
)

// lookup is a lookup in progress. It asks routers of this region first.
type lookup struct {
	id           uint64 // of the LookupMsg
	query        Query
	startedAt    time.Duration
	askedAt      time.Duration
	unanswered   map[string]bool // routers that have not answered yet
	repeated     bool            // the question was sent once more to these
	askedRegions bool            // routers of other regions were asked too
	awaitsRead   bool            // the routers have answered; the source's versions are being read
}

// startLookup looks a stream up, at this router and then at others.
func (m *Machine) startLookup(msg LookupMsg) {
	if e, ok := m.records.get(msg.Now, msg.Key); ok {
		m.resolve(msg.ID, recorded(e.version))
		return
	}
	if msg.Isolated || len(m.lookups) >= maxLookups {
		m.resolve(msg.ID, Resolution{})
		return
	}
	m.lastNumber++
	l := &lookup{
		id: msg.ID, startedAt: msg.Now, unanswered: make(map[string]bool),
		query: Query{Number: m.lastNumber, Service: msg.Service, Key: msg.Key},
	}
	m.lookups[l.query.Number] = l
	m.ask(msg.Now, l, asked(msg.Key, m.home))
}

// ask sends the question of a lookup to routers. Without any, it concludes the lookup.
func (m *Machine) ask(now time.Duration, l *lookup, routers []*Router) {
	l.askedAt, l.repeated = now, false
	for _, r := range routers {
		l.unanswered[r.Address] = true
		m.emit(QueryCmd{To: r.Address, Query: l.query})
	}
	if len(l.unanswered) == 0 {
		m.conclude(now, l)
	}
}

// recorded returns the resolution of a stream with a record.
func recorded(version string) Resolution {
	if version == "" {
		return Resolution{}
	}
	return Resolution{Certainty: Recorded, Version: version}
}

// askRegions asks routers of the other regions: a caller may have come from there.
func (m *Machine) askRegions(now time.Duration, l *lookup) {
	l.askedRegions = true
	clear(l.unanswered)
	regions := byRegion(m.routers)
	var routers []*Router
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		if region != m.self.Region {
			routers = append(routers, asked(l.query.Key, regions[region])...)
		}
	}
	m.ask(now, l, routers)
}

// answer answers another router's question.
func (m *Machine) answer(msg QueryMsg) {
	q := msg.Query
	a := Answer{Number: q.Number, Service: q.Service}
	a.Versions, a.Complete = m.versions.tell(msg.Now, q.Service)
	if e, ok := m.records.get(msg.Now, q.Key); ok {
		a.Found, a.Version = true, e.version
	}
	m.emit(AnswerCmd{To: msg.From, Answer: a})
}

// handleAnswer ends a lookup with a record, or once enough routers have none.
func (m *Machine) handleAnswer(msg AnswerMsg) {
	a := msg.Answer
	l := m.lookups[a.Number]
	if l == nil || l.query.Service != a.Service {
		return
	}
	delete(l.unanswered, msg.From)
	m.versions.hear(msg.Now, a.Service, a.Versions, a.Complete)
	m.updateSharing(msg.Now)
	switch {
	case a.Found:
		m.finish(l, recorded(a.Version))
	case len(l.unanswered) == 0, m.versions.isComplete(a.Service) && !m.versions.several(a.Service):
		m.conclude(msg.Now, l)
	}
}

// conclude ends a lookup without a record: the version is known only if there has been a single
// one.
func (m *Machine) conclude(now time.Duration, l *lookup) {
	switch {
	case m.versions.several(l.query.Service) && !l.askedRegions:
		m.askRegions(now, l)
	case m.versions.several(l.query.Service):
		m.finish(l, Resolution{})
	case m.versions.isComplete(l.query.Service):
		m.finish(l, m.onlyVersion(l.query.Service))
	case !l.awaitsRead:
		l.awaitsRead = true
		m.readStored()
	}
}

// onlyVersion returns the resolution of a stream of a service with a single version.
func (m *Machine) onlyVersion(service string) Resolution {
	r := Resolution{Certainty: Inferred}
	if versions := m.versions.of(service); len(versions) > 0 {
		r.Version = versions[0]
	}
	return r
}

func (m *Machine) finish(l *lookup, r Resolution) {
	delete(m.lookups, l.query.Number)
	m.resolve(l.id, r)
}

func (m *Machine) resolve(id uint64, r Resolution) { m.emit(ResolvedCmd{ID: id, Resolution: r}) }

// advanceLookups repeats unanswered questions and ends lookups that have taken too long.
func (m *Machine) advanceLookups(now time.Duration) {
	for _, number := range slices.Sorted(maps.Keys(m.lookups)) {
		l := m.lookups[number]
		age := now - l.askedAt
		switch {
		case now-l.startedAt >= LookupTimeout-TickInterval:
			m.finish(l, Resolution{})
		case l.awaitsRead:
		case age >= queryTimeout:
			m.conclude(now, l)
		case age >= queryRetryDelay && !l.repeated:
			l.repeated = true
			for _, address := range slices.Sorted(maps.Keys(l.unanswered)) {
				m.emit(QueryCmd{To: address, Query: l.query})
			}
		}
	}
}

// readStored reads the versions that the source keeps, unless a call is in progress.
func (m *Machine) readStored() {
	if m.reading {
		return
	}
	m.reading = true
	m.emit(ReadStoredCmd{})
}

// handleStored ends the lookups that waited for the source.
func (m *Machine) handleStored(msg StoredMsg) {
	m.reading = false
	for service, versions := range msg.Services {
		for _, version := range versions {
			m.versions.stored.add(service, version, msg.Now+versionRetention)
		}
	}
	m.versions.complete = m.versions.complete || msg.Err == nil
	m.updateSharing(msg.Now)
	for _, number := range slices.Sorted(maps.Keys(m.lookups)) {
		l := m.lookups[number]
		if !l.awaitsRead {
			continue
		}
		if msg.Err != nil {
			m.finish(l, Resolution{})
			continue
		}
		m.conclude(msg.Now, l)
	}
}
