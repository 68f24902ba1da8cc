package rollout

import "time"

// Msg is anything that a Machine can be told. Now is the time since the process
// started, on its monotonic clock.
type Msg interface{ isMsg() }

// OrdersMsg brings all orders that are in the store.
type OrdersMsg struct {
	Now    time.Duration
	Orders []Order
}

// RecordsMsg brings all records that are in the store.
type RecordsMsg struct {
	Now time.Duration
	// Wall is the time of day, which tells how long ago a record was written.
	Wall    time.Time
	Records []Record
}

// VersionsMsg tells which versions the listed servers of each service have.
type VersionsMsg struct {
	Now      time.Duration
	Services map[string][]string // sorted
}

// ResponseMsg tells how one answer began, or how it went on until its end, from a server of a
// service that is being rolled out.
type ResponseMsg struct {
	Now        time.Duration
	Service    string
	Route      string
	Cohort     string
	Target     bool // from a server of the target
	AfterStart bool // see Cell
	Bad        bool // it failed, or came several times too late
}

// PeerReportsMsg brings the reports of all other routers, merged by service and order. While an
// order is being replaced there may be two reports of a service, of different orders.
type PeerReportsMsg struct {
	Now     time.Duration
	Reports []Report
}

// WriteDoneMsg tells how a WriteCmd ended.
type WriteDoneMsg struct {
	Now     time.Duration
	Service string
	Kind    WriteKind
	Result  WriteResult
}

// TickMsg lets time pass; send it every TickEvery.
type TickMsg struct {
	Now  time.Duration
	Wall time.Time
	// Leads says that this router is the leader: it raises stages, rejects and writes.
	Leads bool
	// Routers counts the routers of the fleet that are there, this one included.
	Routers int
	// OldRunning counts, by service, this router's requests at servers that are not of
	// the target's version.
	OldRunning map[string]int
	// Requests counts, by service, the requests that came to this router since the service began to
	// move, whatever became of them.
	Requests map[string]int
}

// TickInterval is the time between two ticks: short beside the second within which evidence is
// compared, so that a bad version is stopped soon after the answers that show it.
const TickInterval = 100 * time.Millisecond

func (OrdersMsg) isMsg()      {}
func (RecordsMsg) isMsg()     {}
func (VersionsMsg) isMsg()    {}
func (ResponseMsg) isMsg()    {}
func (PeerReportsMsg) isMsg() {}
func (WriteDoneMsg) isMsg()   {}
func (TickMsg) isMsg()        {}
