package wire

// Type identifies the kind of message in a frame. The numbers of removed types
// are not reused.
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
	// TypeGrant is never sent. Metrics use it to count the bytes of the header that
	// reports a queue's remaining count with a granted request.
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

// String returns the name of the type in metrics and dumps.
func (t Type) String() string {
	if n, ok := typeNames[t]; ok {
		return n
	}
	return "unknown"
}

// Message is any control message.
type Message interface {
	// Type returns the type of the message, which is the first byte after the
	// frame's length.
	Type() Type
}
