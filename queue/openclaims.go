package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// openClaims holds the open claims that an idle agent has granted. Each lets the
// router send one request without waiting for the agent to claim it.
type openClaims struct {
	next      fleet.ClaimID // next unused claim
	remaining int
	expiresAt time.Duration // claims are not used from this time on
}

// openClaimTTL is how long a router uses the open claims of an agent, whose slots
// may have been taken since.
const openClaimTTL = 3 * time.Second

// take uses one open claim and reports whether one was available.
func (o *openClaims) take(now time.Duration) (fleet.ClaimID, bool) {
	if o.remaining <= 0 || now >= o.expiresAt {
		return fleet.ClaimID{}, false
	}
	id := o.next
	o.next.Seq++
	o.remaining--
	return id, true
}
