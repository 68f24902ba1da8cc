package origin

import "time"

// Msg is an event for a Machine. Its Now is the time since the process started, from the monotonic
// clock.
type Msg interface{ isMsg() }

// BegunMsg reports that the caller of a stream is about to get its first event from this router.
type BegunMsg struct {
	Now     time.Duration
	Service string
	Record  Record
}

// HoldMsg asks for a record that a stream is about to begin at a server which has restarted since its entry, so
// that its version is unknown. A HeldCmd with the same ID follows, at once or within Timeout.
type HoldMsg struct {
	Now      time.Duration
	ID       uint64
	Service  string
	Key      Key
	Lifetime time.Duration // of the record
	Timeout  time.Duration
	Contact  Contact
}

// EndedMsg reports that a stream has been delivered to its end, so that nobody resumes it.
type EndedMsg struct{ Key Key }

// LookupMsg asks for the version that began a stream. A ResolvedCmd with the same ID follows, at
// once or within LookupTimeout.
type LookupMsg struct {
	Now     time.Duration
	ID      uint64
	Service string
	Key     Key
	Contact Contact
}

// Contact tells how far this router is in touch with the source and the other routers.
type Contact struct {
	// Majority reports that heartbeats of most of the routers have arrived lately: of all that were
	// live when a router in touch with this one last reached the source.
	Majority bool
	// Members is the number of these routers, with this one; 0: it is not known.
	Members int
	// Missing is the number of known routers of which no heartbeat has arrived lately.
	Missing int
	// Starting reports that this router has started so recently that there may be members of which it has not
	// heard.
	Starting bool
	// Current reports that no router which this one has heard of has a newer list of servers.
	Current bool
	// SourceFailing reports that the last call to the source failed.
	SourceFailing bool
}

// IsLost reports whether nothing can tell this router which versions are in use.
func (c Contact) IsLost() bool { return c.SourceFailing && !c.Majority }

// ContactLostMsg reports that this router is in touch neither with the source nor with most other
// routers, so that versions may come and go without its knowledge.
type ContactLostMsg struct{ Now time.Duration }

// RoutersMsg delivers the other live routers that keep records.
type RoutersMsg struct{ Routers []Router }

// ListedMsg delivers the versions that have servers, by service.
type ListedMsg struct {
	Now      time.Duration
	Services map[string][]string
	// Servers are the IDs of all servers, which name their starts.
	Servers []string
}

// UnlistedStartMsg reports that a server of a service accepts connections as a start that no entry names.
type UnlistedStartMsg struct {
	Now     time.Duration
	Service string
	Start   string // the ID that its entry will have
}

// StoredMsg delivers the versions that the source keeps, by service: those that may have begun
// streams which can still be resumed. Err is set if they could not be read.
type StoredMsg struct {
	Now      time.Duration
	Services map[string][]string
	Err      error
	// Requested is set for the result of a ReadStoredCmd.
	Requested bool
	// Listed holds the versions that have servers, by service, if ServersRead is set: the list of
	// servers was read, too.
	Listed      map[string][]string
	ServersRead bool
}

// RecoveredMsg delivers the streams that this router's previous life has stored.
type RecoveredMsg struct {
	Now     time.Duration
	Streams []StoredStreams
}

// RecordsMsg delivers records of another router.
type RecordsMsg struct {
	Now     time.Duration
	Records []Record
}

// QueryMsg is another router's question about a stream.
type QueryMsg struct {
	Now   time.Duration
	From  string
	Query Query
}

// AnswerMsg is another router's answer to a question of this one.
type AnswerMsg struct {
	Now    time.Duration
	From   string
	Answer Answer
}

// LeaveMsg reports that this router is shutting down.
type LeaveMsg struct{ Now time.Duration }

// TickMsg advances the time. Send it every TickInterval, or every IdleInterval while the machine is
// idle.
type TickMsg struct{ Now time.Duration }

func (BegunMsg) isMsg()         {}
func (HoldMsg) isMsg()          {}
func (EndedMsg) isMsg()         {}
func (LookupMsg) isMsg()        {}
func (ContactLostMsg) isMsg()   {}
func (RecoveredMsg) isMsg()     {}
func (RoutersMsg) isMsg()       {}
func (ListedMsg) isMsg()        {}
func (UnlistedStartMsg) isMsg() {}
func (StoredMsg) isMsg()        {}
func (RecordsMsg) isMsg()       {}
func (QueryMsg) isMsg()         {}
func (AnswerMsg) isMsg()        {}
func (LeaveMsg) isMsg()         {}
func (TickMsg) isMsg()          {}

// Query asks which version began a stream.
type Query struct {
	Number  uint64 // chosen by the router that asks
	Service string
	Key     Key
}

// Answer answers a Query.
type Answer struct {
	Number  uint64
	Service string
	Found   bool   // there is a record of the stream
	Version string // empty: routers contradict one another
	// Versions are those that may have begun streams of the service which can still be resumed.
	// Complete reports that none is missing.
	Versions []RecentVersion
	Complete bool
	// MetUnlisted reports that a server of the service has accepted connections as a start that no entry names.
	MetUnlisted bool
}

// RecentVersion is a version whose streams can still be resumed.
type RecentVersion struct {
	Name string
	Left time.Duration // how long it still counts, unless it has servers then
}
