package wire

import "github.com/croftvale/croftvale/fleet"

// Role says what a process does for the fleet.
type Role string

// The roles.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Hello is the first message on a link, from both sides.
type Hello struct {
	Name        fleet.Name
	Role        Role
	Hall        fleet.Hall
	Incarnation fleet.Incarnation
}

// Heartbeat says that the sender lives; it goes at intervals and at once when
// one of its fields changes.
type Heartbeat struct {
	Generation fleet.Generation
	Leaving    bool
	Serving    bool
	Hub        bool
	Every      uint32 // milliseconds between two signs of life from the sender
}

// Alive says that the sender lives and that its last Heartbeat still holds.
type Alive struct{}

// DemandRow is the count of one line of waiting requests.
type DemandRow struct {
	Work      Number
	Team      Number
	Class     fleet.Class
	Count     uint32
	OldestAge uint32 // milliseconds
}

// Demand tells an agent how many requests wait at a router. Rows that are not
// named keep their last count.
type Demand struct {
	Rows []DemandRow
}

// Free tells a router that an agent has slots and knows of no work, and gives
// it open claims numbered from First.
type Free struct {
	Slots uint32
	First uint64
}

// Claim asks a router for one request of a line. The request itself, sent by
// HTTP with the claim's id, is the grant; Deny is the other answer.
type Claim struct {
	Seq   uint64
	Work  Number
	Team  Number
	Class fleet.Class
}

// Deny answers a claim for a line that is empty. It carries the true count.
type Deny struct {
	Seq uint64
	Row DemandRow
}

// ServiceRow is one team's service in milliseconds of slot time, and its lift
// in milliseconds of slot time per unit of share. Both only ever grow, so rows
// merge by maximum and may be lost, repeated or reordered.
type ServiceRow struct {
	Team    Number
	Service int64
	Lift    int64
}

// Service carries an agent's own counters, for its present incarnation, to a
// hub. Rows that are not named keep their last value.
type Service struct {
	Rows []ServiceRow
}

// Totals carries the service of the whole fleet less the receiver's own.
type Totals struct {
	Rows []ServiceRow
}

// HallTotals carries the service of one hall between hubs.
type HallTotals struct {
	Hall fleet.Hall
	Rows []ServiceRow
}

// AgentRows passes the service of one life of one agent from hub to hub, so
// that a hub that has just started counts lives that have ended.
type AgentRows struct {
	Hall        fleet.Hall
	Agent       fleet.Name
	Incarnation fleet.Incarnation
	Rows        []ServiceRow
}

// BundlePull asks for the bundle that the other side has in force. Have is
// the generation that the sender has, so that a patch may do.
type BundlePull struct {
	Have fleet.Generation
}

// BundleData carries a signed order and the bundle it puts in force: whole,
// or as a patch on the generation Base where Base is not zero.
type BundleData struct {
	Order   []byte
	Base    fleet.Generation
	Content []byte
}

// Type implements Message.
func (Hello) Type() Type { return TypeHello }

// Type implements Message.
func (Heartbeat) Type() Type { return TypeHeartbeat }

// Type implements Message.
func (Alive) Type() Type { return TypeAlive }

// Type implements Message.
func (Demand) Type() Type { return TypeDemand }

// Type implements Message.
func (Free) Type() Type { return TypeFree }

// Type implements Message.
func (Claim) Type() Type { return TypeClaim }

// Type implements Message.
func (Deny) Type() Type { return TypeDeny }

// Type implements Message.
func (Service) Type() Type { return TypeService }

// Type implements Message.
func (Totals) Type() Type { return TypeTotals }

// Type implements Message.
func (HallTotals) Type() Type { return TypeHallTotals }

// Type implements Message.
func (BundlePull) Type() Type { return TypeBundlePull }

// Type implements Message.
func (BundleData) Type() Type { return TypeBundleData }

// Type implements Message.
func (AgentRows) Type() Type { return TypeAgentRows }
