package router

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
	"github.com/stretchr/testify/require"
)

var line = fleet.DemandKey{Work: "report", Team: "ajax", Class: fleet.Ordinary}

// newCore returns a core with one agent and no links, and a handler whose
// events the test hands over one by one.
func newCore() (*core, *handler, chan event) {
	events := make(chan event, 16)
	c := &core{
		now:   func() time.Duration { return time.Second },
		queue: queue.New(queue.Config{MaxWaiting: 10, MaxWait: time.Minute}),
		hub:   ledger.NewHub("r", "a"),
		keys:  once.NewCoordinator(),
		peers: map[fleet.Name]*peer{},
		open:  map[queue.RequestID]*openRequest{},
	}
	c.feed(queue.AgentUpMsg{Agent: "a", Works: []fleet.Work{"report"}})
	return c, &handler{events: events, meter: &link.Meter{}}, events
}

func (c *core) claimFirst() {
	c.feed(queue.ClaimMsg{Claim: fleet.ClaimID{Agent: "a", Seq: 1}, Key: line})
}

// TestHangUpCrossesGrant lets a caller hang up while its request is granted:
// nothing is left of the request, whichever comes first.
func TestHangUpCrossesGrant(t *testing.T) {
	for _, claimedFirst := range []bool{true, false} {
		c, h, events := newCore()
		decisions := make(chan decision, 1)
		c.onEvent(arriveEvent{request: queue.Request{ID: 1, Key: line}, reply: decisions})
		done := make(chan struct{})
		go func() {
			h.abandon(1, decisions)
			close(done)
		}()
		hangUp := <-events // the core has yet to hear of it
		if claimedFirst {
			c.claimFirst()
			c.onEvent(hangUp)
			c.onEvent(<-events) // the end of the run that crossed
		} else {
			c.onEvent(hangUp)
			c.claimFirst()
		}
		<-done
		require.Zero(t, c.queue.Unfinished())
		require.Empty(t, c.open)
	}
}
