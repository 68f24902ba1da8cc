package wire

import "github.com/croftvale/croftvale/fleet"

// Role is the kind of a process in the fleet.
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

// Heartbeat reports that the sender is alive. It is sent at intervals, and
// immediately when one of its fields changes.
type Heartbeat struct {
	Generation fleet.Generation
	Leaving    bool
	Serving    bool
	Hub        bool   // the sender is a hub for the receiver
	Every      uint32 // longest interval between messages of the sender, in milliseconds
}

// Alive reports that the sender is alive and that its last Heartbeat is still
// valid.
type Alive struct{}

// DemandRow holds the count of one queue of waiting requests.
type DemandRow struct {
	Work      Number
	Team      Number
	Class     fleet.Class
	Count     uint32
	OldestAge uint32 // milliseconds
}

// Demand reports to an agent how many requests wait at a router. Queues that are
// not listed keep their last count.
type Demand struct {
	Rows []DemandRow
}

// Free reports to a router that an agent has free slots and no known demand.
// It grants the router one open claim per slot, numbered from First. An open claim
// names no queue, so the router may use it for any work that the agent's server runs.
type Free struct {
	Slots uint32
	First uint64
}

// Claim asks a router for one request of a queue. The router grants it by sending
// the request over HTTP with the claim's ID, or replies with Deny.
type Claim struct {
	Seq   uint64
	Work  Number
	Team  Number
	Class fleet.Class
}

// Deny rejects a claim for a queue that is empty. It holds the queue's current
// count.
type Deny struct {
	Seq uint64
	Row DemandRow
}

// ServiceRow holds one team's service, in milliseconds of slot time, and its
// lift, in milliseconds of slot time per unit of share. Neither value decreases,
// so rows merge by maximum and may be lost, repeated or reordered.
type ServiceRow struct {
	Team    Number
	Service int64
	Lift    int64
}

// Service sends an agent's own counters, for its current incarnation, to a hub,
// which is a router that shares service counters with others. Teams that are not
// listed keep their last values.
type Service struct {
	Rows []ServiceRow
}

// Totals holds the service of the whole fleet without the receiver's own.
type Totals struct {
	Rows []ServiceRow
}

// HallTotals sends the service of one hall from hub to hub.
type HallTotals struct {
	Hall fleet.Hall
	Rows []ServiceRow
}

// AgentRows sends the service of one incarnation of an agent from hub to hub, so
// that a hub that has just started also counts incarnations that have ended.
type AgentRows struct {
	Hall        fleet.Hall
	Agent       fleet.Name
	Incarnation fleet.Incarnation
	Rows        []ServiceRow
}

// BundlePull asks for the bundle that the other side uses. Have is the sender's
// generation, so that the reply can be a patch.
type BundlePull struct {
	Have fleet.Generation
}

// BundleData holds a signed order and the bundle that the order activates. The
// bundle is complete if Base is 0, otherwise it is a patch on generation Base.
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
