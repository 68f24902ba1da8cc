package capacity

// Slopes is what one machine measured. Times are in nanoseconds of one core,
// sizes in bytes.
type Slopes struct {
	// Bytes of one frame, or of one more row in a frame.
	ClaimBytes      float64 `json:"claim_bytes"`
	DemandBytes     float64 `json:"demand_bytes"` // a message with one row
	DemandRowBytes  float64 `json:"demand_row_bytes"`
	DenyBytes       float64 `json:"deny_bytes"`
	FreeBytes       float64 `json:"free_bytes"`
	GrantBytes      float64 `json:"grant_header_bytes"`
	AliveBytes      float64 `json:"alive_bytes"`
	ServiceBytes    float64 `json:"service_bytes"` // a message without rows
	ServiceRowBytes float64 `json:"service_row_bytes"`
	PatchBytes      float64 `json:"patch_bytes"`  // a change of one team, with its order
	BundleBytes     float64 `json:"bundle_bytes"` // packed, at the two-year size
	KeyBytes        float64 `json:"key_bytes"`    // reserve and verdict of one owner

	// Processor time.
	RequestNS    float64 `json:"router_request_ns"` // one request's decisions at a router
	RouterTickNS float64 `json:"router_tick_ns"`
	DecisionNS   float64 `json:"agent_decision_ns"` // one request's decisions at an agent
	AgentTickNS  float64 `json:"agent_tick_ns"`
	TotalsRowNS  float64 `json:"totals_row_ns"` // one row read by an agent
	HubRowNS     float64 `json:"hub_row_ns"`    // one row of one agent in a round
	FrameNS      float64 `json:"frame_ns"`      // a small frame written and read
	FrameRowNS   float64 `json:"frame_row_ns"`  // one more row in a frame
	PatchNS      float64 `json:"patch_ns"`      // a change of one team adopted, at the two-year size
	RendezvousNS float64 `json:"rendezvous_ns"` // one server's links worked out among all routers

	// Memory.
	RequestMemory float64 `json:"request_memory"` // a waiting request
	LinkMemory    float64 `json:"link_memory"`    // a control link
	LifeMemory    float64 `json:"life_memory"`    // a life of an agent at a hub, all teams
	TeamMemory    float64 `json:"team_memory"`    // a team at an agent, with its demand at the linked routers
	BundleMemory  float64 `json:"bundle_memory"`  // the bundle at the two-year size
	KeyMemory     float64 `json:"key_memory"`     // an idempotency key
	BaseMemory    float64 `json:"base_memory"`    // a process that has nothing to do
}
