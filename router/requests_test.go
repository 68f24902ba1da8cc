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

var testDemandKey = fleet.DemandKey{Work: "report", Team: "ajax", Class: fleet.Ordinary}

// newTestCore returns a core with one agent and no links, and a handler whose
// events the test passes to the core one by one.
func newTestCore() (*core, *handler, chan event) {
	events := make(chan event, 16)
	c := &core{
		now:      func() time.Duration { return time.Second },
		queue:    queue.New(queue.Config{MaxWaiting: 10, MaxWait: time.Minute}),
		hub:      ledger.NewHub("r", "a"),
		keys:     once.NewCoordinator(),
		peers:    map[fleet.Name]*peer{},
		requests: map[queue.RequestID]*openRequest{},
	}
	c.updateQueue(queue.AgentUpMsg{Agent: "a", Works: []fleet.Work{"report"}})
	return c, &handler{events: events, meter: &link.Meter{}}, events
}

func (c *core) claimRequest() {
	c.updateQueue(queue.ClaimMsg{Claim: fleet.ClaimID{Agent: "a", Seq: 1}, Key: testDemandKey})
}

// TestHangUpCrossesGrant cancels a request while an agent claims it. The core and
// the queue must drop the request, whichever of the two is handled first.
func TestHangUpCrossesGrant(t *testing.T) {
	for _, claimFirst := range []bool{true, false} {
		c, h, events := newTestCore()
		decisions := make(chan decision, 1)
		c.onEvent(requestEvent{request: queue.Request{ID: 1, Key: testDemandKey}, reply: decisions})
		done := make(chan struct{})
		go func() {
			h.cancelRequest(1, decisions)
			close(done)
		}()
		canceled := <-events // not yet handled by the core
		if claimFirst {
			c.claimRequest()
			c.onEvent(canceled)
			c.onEvent(<-events) // the end of the run that was granted before
		} else {
			c.onEvent(canceled)
			c.claimRequest()
		}
		<-done
		require.Zero(t, c.queue.Unfinished())
		require.Empty(t, c.requests)
	}
}
