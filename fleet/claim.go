package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// ClaimID identifies a claim of an agent and is never reused. A restarted agent
// has a new incarnation, so it cannot mistake an old claim for its own.
type ClaimID struct {
	Agent       Name
	Incarnation Incarnation
	Seq         uint64
}

// String returns the claim as it is sent in a header: agent/incarnation/seq.
func (c ClaimID) String() string {
	return fmt.Sprintf("%s/%d/%d", c.Agent, c.Incarnation, c.Seq)
}

// ParseClaimID parses the result of ClaimID.String. It returns false for any
// other text.
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
