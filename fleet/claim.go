package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// ClaimID names one claim of one agent for all time: a restarted agent has a
// new incarnation, so it can never mistake an old claim for its own.
type ClaimID struct {
	Agent       Name
	Incarnation Incarnation
	Seq         uint64
}

// String spells the claim as it travels in a header: agent/incarnation/seq.
func (c ClaimID) String() string {
	return fmt.Sprintf("%s/%d/%d", c.Agent, c.Incarnation, c.Seq)
}

// ParseClaimID reads what ClaimID.String wrote.
func ParseClaimID(s string) (ClaimID, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" {
		return ClaimID{}, false
	}
	inc, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ClaimID{}, false
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ClaimID{}, false
	}
	return ClaimID{Agent: Name(parts[0]), Incarnation: Incarnation(inc), Seq: seq}, true
}
