package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// openClaims is what an idle agent has let the router send it unasked.
type openClaims struct {
	next      fleet.ClaimID // the next one
	remaining int
	expiresAt time.Duration // the agent's word is old by then
}

// openClaimTTL is how long an agent's word of idle slots is trusted.
const openClaimTTL = 3 * time.Second

// take uses one open claim, if there is one.
func (o *openClaims) take(now time.Duration) (fleet.ClaimID, bool) {
	if o.remaining <= 0 || now >= o.expiresAt {
		return fleet.ClaimID{}, false
	}
	id := o.next
	o.next.Seq++
	o.remaining--
	return id, true
}
