package wire

// Type tells the messages of a frame apart. Numbers are never used again.
type Type uint8

// The message types.
const (
	TypeHello      Type = 1
	TypeHeartbeat  Type = 2
	TypeDemand     Type = 3
	TypeFree       Type = 4
	TypeClaim      Type = 5
	TypeDeny       Type = 6
	TypeService    Type = 7
	TypeTotals     Type = 8
	TypeHallTotals Type = 9
	TypeBundlePull Type = 11
	TypeBundleData Type = 12
	TypeAgentRows  Type = 13
	TypeName       Type = 14
	TypeKeyReserve Type = 16
	TypeKeyVerdict Type = 17
	TypeKeyRelease Type = 18
	TypeAlive      Type = 19
	// TypeGrant is never sent: it counts the header of a granted request that
	// control needs.
	TypeGrant Type = 15
)

var typeNames = map[Type]string{
	TypeHello: "hello", TypeHeartbeat: "heartbeat", TypeDemand: "demand",
	TypeFree: "free", TypeClaim: "claim", TypeDeny: "deny",
	TypeService: "service", TypeTotals: "totals", TypeHallTotals: "hall_totals",
	TypeBundlePull: "bundle_pull", TypeBundleData: "bundle_data",
	TypeAgentRows: "agent_rows", TypeName: "name", TypeGrant: "grant_header",
	TypeKeyReserve: "key_reserve", TypeKeyVerdict: "key_verdict", TypeKeyRelease: "key_release",
	TypeAlive: "alive",
}

// String names the type as metrics and dumps spell it.
func (t Type) String() string {
	if n, ok := typeNames[t]; ok {
		return n
	}
	return "unknown"
}

// Message is any control message.
type Message interface {
	// Type returns the byte that announces the message in its frame.
	Type() Type
}
