package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// queryRetryDelay is the time after which a question without an answer is sent once more.
	queryRetryDelay = 40 * time.Millisecond
	// queryTimeout is the time after which no further answer is expected.
	queryTimeout = 120 * time.Millisecond
	// LookupTimeout bounds a lookup, including a call to the source.
	LookupTimeout = 500 * time.Millisecond
	// startingWait is how long a router that has just started waits for others of which it has not heard yet.
	startingWait = 300 * time.Millisecond
	// maxLookups bounds the lookups in progress. More of them fail at once.
	maxLookups = 512
	// maxVouchers is the number of routers that are asked whether they are in touch with this one.
	// In larger fleets they are a sample.
	maxVouchers = 32
)

// lookup is a lookup in progress. It asks routers of this region first.
type lookup struct {
	id           uint64 // of the LookupMsg
	query        Query
	contact      Contact
	startedAt    time.Duration
	askedAt      time.Duration
	asked        int             // routers that were asked last
	questioned   map[string]bool // all routers that were asked
	unanswered   map[string]bool // those of them that have not answered yet
	repeated     bool            // the question was sent once more to these
	askedRegions bool            // routers of other regions were asked too
	askedMost    bool            // routers were asked whether they are in touch with this one
	concluding   bool            // no router that has answered has a record
	toldUnlisted bool            // a router that has answered has met a start that no entry names
	unlisted     string          // unknown version in the record of a router that has answered; empty: none
}

// startLookup looks a stream up, at this router and then at others.
func (m *Machine) startLookup(msg LookupMsg) {
	if e, ok := m.records.get(msg.Now, msg.Key); ok {
		m.resolve(msg.ID, recorded(e.version))
		return
	}
	if msg.Contact.IsLost() || len(m.lookups) >= maxLookups {
		m.resolve(msg.ID, Resolution{})
		return
	}
	m.lastNumber++
	l := &lookup{
		id: msg.ID, contact: msg.Contact, startedAt: msg.Now, questioned: make(map[string]bool), unanswered: make(map[string]bool),
		query: Query{Number: m.lastNumber, Service: msg.Service, Key: msg.Key},
	}
	m.lookups[l.query.Number] = l
	if m.versions.several(msg.Service) {
		m.ask(msg.Now, l, asked(msg.Key, m.home))
		return
	}
	m.readFor(msg.Now, l)
	if msg.Contact.SourceFailing {
		m.askMost(msg.Now, l)
		return
	}
	m.ask(msg.Now, l, asked(msg.Key, m.home))
}

// ask sends the question of a lookup to routers. Without any, it concludes the lookup.
func (m *Machine) ask(now time.Duration, l *lookup, routers []*Router) {
	l.askedAt, l.asked, l.repeated = now, len(routers), false
	clear(l.unanswered)
	for _, r := range routers {
		m.question(l, r)
	}
	if len(routers) == 0 {
		m.conclude(now, l)
	}
}

func (m *Machine) question(l *lookup, r *Router) {
	l.questioned[r.Address], l.unanswered[r.Address] = true, true
	m.emit(QueryCmd{To: r.Address, Query: l.query})
}

// askNewcomers asks the routers of which this one, which has just started, has heard since.
func (m *Machine) askNewcomers(now time.Duration, l *lookup) {
	for _, r := range asked(l.query.Key, m.home) {
		if !l.questioned[r.Address] {
			l.askedAt, l.repeated = now, false
			l.asked++
			m.question(l, r)
		}
	}
}

// awaitsRouters reports whether a lookup waits for routers of which this one may not have heard yet.
func (l *lookup) awaitsRouters(now time.Duration) bool {
	return l.contact.Starting && now-l.startedAt < startingWait
}

// recorded returns the resolution of a stream with a record.
func recorded(version string) Resolution {
	switch {
	case version == contradicted:
		return Resolution{Evidence: Contradicted}
	case version == UnknownVersion, version == pendingVersion:
		return Resolution{Evidence: VersionUnlisted}
	}
	return Resolution{Certainty: Recorded, Version: version}
}

// askRegions asks routers of the other regions: a caller may have come from there.
func (m *Machine) askRegions(now time.Duration, l *lookup) {
	l.askedRegions = true
	regions := byRegion(m.routers)
	var routers []*Router
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		if region != m.self.Region {
			routers = append(routers, asked(l.query.Key, regions[region])...)
		}
	}
	m.ask(now, l, routers)
}

// askMost asks whether most routers are in touch with this one.
func (m *Machine) askMost(now time.Duration, l *lookup) {
	l.askedMost = true
	m.ask(now, l, firstRouters(l.query.Key, m.routers, maxVouchers))
}

// answer answers another router's question.
func (m *Machine) answer(msg QueryMsg) {
	q := msg.Query
	a := Answer{Number: q.Number, Service: q.Service, MetUnlisted: m.unlisted.any(q.Service)}
	a.Versions, a.Complete = m.versions.tell(msg.Now, q.Service)
	if e, ok := m.records.get(msg.Now, q.Key); ok {
		a.Found, a.Version = true, e.version
	}
	m.emit(AnswerCmd{To: msg.From, Answer: a})
}

// handleAnswer ends a lookup with a record, or concludes it once enough routers have none.
func (m *Machine) handleAnswer(msg AnswerMsg) {
	a := msg.Answer
	if m.handleConfirmation(msg) {
		return
	}
	l := m.lookups[a.Number]
	if l == nil && m.probes[a.Number] != a.Service || l != nil && l.query.Service != a.Service {
		return
	}
	m.versions.hear(msg.Now, a.Service, a.Versions, a.Complete)
	m.updateSharing(msg.Now)
	if l == nil {
		delete(m.probes, a.Number)
		return
	}
	delete(l.unanswered, msg.From)
	l.toldUnlisted = l.toldUnlisted || a.MetUnlisted
	switch {
	case a.Found && isUnknown(a.Version) && len(l.unanswered) > 0:
		l.unlisted = a.Version // another router may know the version by now
	case a.Found:
		m.finish(l, recorded(a.Version))
	case l.concluding, len(l.unanswered) == 0, m.knowsOnlyVersion(a.Service) && msg.Now-l.askedAt >= queryRetryDelay:
		m.conclude(msg.Now, l)
	}
}

// knowsOnlyVersion reports whether at most one version of a service can have begun streams, as far as this
// router knows. The holders of a record may know better, so they get a moment to answer.
func (m *Machine) knowsOnlyVersion(service string) bool {
	return m.versions.isComplete(service) && !m.versions.several(service)
}

// finish ends a lookup. A record that has come meanwhile counts for more than any conclusion.
func (m *Machine) finish(l *lookup, r Resolution) {
	delete(m.lookups, l.query.Number)
	if e, ok := m.records.get(l.startedAt, l.query.Key); ok && r.Certainty != Recorded {
		r = recorded(e.version)
	}
	m.resolve(l.id, r)
}

func (m *Machine) resolve(id uint64, r Resolution) { m.emit(ResolvedCmd{ID: id, Resolution: r}) }

// advanceLookups repeats unanswered questions and ends lookups that have taken too long.
func (m *Machine) advanceLookups(now time.Duration) {
	for _, number := range slices.Sorted(maps.Keys(m.lookups)) {
		l := m.lookups[number]
		if l.awaitsRouters(now) {
			m.askNewcomers(now, l)
		}
		age := now - l.askedAt
		switch {
		case now-l.startedAt >= LookupTimeout-TickInterval:
			m.finish(l, m.lateResolution(l))
		case age >= queryTimeout:
			m.conclude(now, l)
		case age >= queryRetryDelay && !l.repeated:
			l.repeated = true
			if len(l.unanswered) < l.asked && m.knowsOnlyVersion(l.query.Service) && !m.mayHaveBegunUnlisted(l) {
				m.conclude(now, l)
				continue
			}
			for _, address := range slices.Sorted(maps.Keys(l.unanswered)) {
				m.emit(QueryCmd{To: address, Query: l.query})
			}
		}
	}
}
