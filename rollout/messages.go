package rollout

import "time"

// Msg is an event that a Machine processes. Now is the time since the process started, on
// its monotonic clock.
type Msg interface{ isMsg() }

// OrdersMsg carries all orders in the store.
type OrdersMsg struct {
	Now    time.Duration
	Orders []Order
}

// RecordsMsg carries all records in the store.
type RecordsMsg struct {
	Now time.Duration
	// Wall is the time of day, from which the age of a record is computed.
	Wall    time.Time
	Records []Record
}

// VersionsMsg carries the versions of the listed servers of each service.
type VersionsMsg struct {
	Now      time.Duration
	Services map[string][]string // sorted
}

// ResponseMsg carries the outcome of one phase of a response, of its start or of the rest up to
// its end, from a server of a service with a running rollout.
type ResponseMsg struct {
	Now        time.Duration
	Service    string
	Route      string
	Cohort     string
	Target     bool // from a server of the target
	AfterStart bool // see Cell.AfterStart
	Bad        bool // the response failed, or took several times as long as those of old servers
}

// PeerReportsMsg carries the reports of all other routers, merged by service and order. While
// an order is being replaced there may be two reports of a service, on different orders.
type PeerReportsMsg struct {
	Now     time.Duration
	Reports []Report
}

// WriteDoneMsg carries the result of a WriteCmd.
type WriteDoneMsg struct {
	Now     time.Duration
	Service string
	Kind    WriteKind
	Result  WriteResult
}

// TickMsg advances the time; send it every TickInterval.
type TickMsg struct {
	Now  time.Duration
	Wall time.Time
	// Leads is set if this router is the leader, which raises stages, rejects and writes.
	Leads bool
	// Routers is the number of live routers of the fleet, including this one.
	Routers int
	// OldRunning is, by service, the number of this router's requests on servers that are not of
	// the target's version.
	OldRunning map[string]int
	// Requests is, by service, the number of requests that this router received since the service
	// began to move, whatever their outcome.
	Requests map[string]int
}

// TickInterval is the time between two ticks. It is short compared to sliceDuration, so that a
// bad version is stopped soon after the responses that show it.
const TickInterval = 100 * time.Millisecond

func (OrdersMsg) isMsg()      {}
func (RecordsMsg) isMsg()     {}
func (VersionsMsg) isMsg()    {}
func (ResponseMsg) isMsg()    {}
func (PeerReportsMsg) isMsg() {}
func (WriteDoneMsg) isMsg()   {}
func (TickMsg) isMsg()        {}
