package origin

import "time"

const (
	// TickInterval is the time between two ticks, and so the longest time that a record waits to
	// be sent.
	TickInterval = 20 * time.Millisecond
	// IdleInterval is the time between two ticks of an idle machine, and between two removals of
	// expired state.
	IdleInterval = time.Second
)

// Machine decides which records one router keeps, sends and asks for. Create one with NewMachine.
type Machine struct {
	self     Router
	routers  []Router // other live routers that keep records
	home     []Router // those of them that hold the records of this router's streams
	records  table
	versions recentVersions
	unlisted unlistedStarts
	sharing  map[string]bool     // services whose records are sent to other routers
	outgoing map[string][]Record // by the router that they go to

	// unchecked are the records whose holders may have changed since home was previousHome.
	unchecked    []Key
	previousHome []Router

	confirmations map[Key]*confirmation // of records that are sent until they are confirmed
	confirming    map[uint64]Key        // streams of confirmations, by number of the query
	unconfirmed   []Key                 // confirmations that some routers may still lack

	holds []hold // that wait for confirmations

	lookups    map[uint64]*lookup // by number of the query
	probes     map[uint64]string  // services that are asked for, by number of the query
	lastNumber uint64
	reading    reading
	history    history
	expiredAt  time.Duration
	cmds       []Cmd
}

// NewMachine returns a machine that knows no other routers yet. firstStart reports that the whole
// fleet starts for the first time, so that no stream can have begun before.
func NewMachine(self Router, firstStart bool) *Machine {
	return &Machine{
		self: self, versions: newRecentVersions(firstStart), sharing: make(map[string]bool),
		outgoing: make(map[string][]Record), lookups: make(map[uint64]*lookup), probes: make(map[uint64]string),
		confirmations: make(map[Key]*confirmation), confirming: make(map[uint64]Key),
		unlisted: make(unlistedStarts),
	}
}

// Update processes a message and returns the commands to carry out. The slice is valid until the
// next call.
func (m *Machine) Update(msg Msg) []Cmd {
	m.cmds = m.cmds[:0]
	switch msg := msg.(type) {
	case BegunMsg:
		m.begin(msg)
	case HoldMsg:
		m.startHold(msg)
	case EndedMsg:
		m.end(msg.Key)
	case LookupMsg:
		m.startLookup(msg)
	case ContactLostMsg:
		m.loseContact(msg.Now)
	case RecoveredMsg:
		m.recoverStreams(msg)
	case RoutersMsg:
		m.setRouters(msg.Routers)
	case ListedMsg:
		m.versions.setListed(msg.Now, msg.Services)
		m.unlisted.list(msg.Servers)
		m.updateSharing(msg.Now)
	case UnlistedStartMsg:
		m.unlisted.add(msg.Now, msg.Service, msg.Start)
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
// service may have begun at several versions, or if its own version is unknown.
func (m *Machine) begin(msg BegunMsg) {
	r := msg.Record
	old, known := m.records.get(msg.Now, r.Key)
	m.records.put(msg.Now, r.Key, entry{version: r.Version, expiresAt: msg.Now + clampLifetime(r.Lifetime), service: msg.Service})
	if isUnknown(r.Version) {
		m.unlisted.add(msg.Now, msg.Service, unlistedStart(r.Version))
	} else {
		m.versions.known.add(msg.Service, r.Version, msg.Now+versionRetention)
	}
	m.updateSharing(msg.Now)
	switch {
	case isUnknown(r.Version), known && isUnknown(old.version):
		m.shareWidely(msg.Now, r.Key)
	case m.sharing[msg.Service]:
		m.share(msg.Now, r.Key)
	default:
		return
	}
	m.emit(StoreStreamsCmd{})
}

// end drops the entry of a stream of this router, unless other routers may ask for it.
func (m *Machine) end(key Key) {
	m.endConfirmation(key)
	e, ok := m.records.entries[key]
	if !ok {
		return
	}
	if !e.shared {
		m.records.remove(key)
		return
	}
	e.delivered = true
	m.records.entries[key] = e
}

func (m *Machine) tick(now time.Duration) {
	m.advanceLookups(now)
	m.reshare(now)
	m.advanceConfirmations(now)
	m.advanceHolds(now)
	if now-m.expiredAt >= IdleInterval {
		m.expiredAt = now
		m.records.expire(now)
		m.expireConfirmations(now)
		m.versions.expire(now)
		m.unlisted.expire(now)
		m.updateSharing(now)
		m.searchHistory(now)
	}
}

// Idle reports whether nothing is to be done for an IdleInterval.
func (m *Machine) Idle() bool {
	return len(m.outgoing) == 0 && len(m.lookups) == 0 && len(m.unchecked) == 0 && len(m.unconfirmed) == 0 && len(m.holds) == 0
}
