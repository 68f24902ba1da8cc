package agent

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/sched"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// newTestCore returns a core with one slot, which is claimed, and the claim's
// sequence number.
func newTestCore() (*core, uint64) {
	c := &core{
		now:       func() time.Duration { return time.Second },
		log:       &log.Logger{Level: log.PanicLevel},
		scheduler: sched.New(sched.Config{Slots: 1, Works: []fleet.Work{"report"}, Shares: map[fleet.Team]float64{"ajax": 1}}),
		replies:   map[uint64]chan<- decision{},
	}
	key := fleet.DemandKey{Work: "report", Team: "ajax"}
	c.scheduler.Update(sched.RouterUpMsg{Router: "r"})
	c.scheduler.Update(sched.DemandMsg{Router: "r", Counts: []fleet.QueueCount{{Key: key, Waiting: 1}}})
	claim := c.scheduler.Update(sched.HealthMsg{Serving: true})[0].(sched.ClaimCmd)
	return c, claim.Seq
}

// TestCanceledRequestIsReleased cancels a request after the core has decided to
// start it. The slot must stay in use until the request's goroutine reports the end.
func TestCanceledRequestIsReleased(t *testing.T) {
	c, seq := newTestCore()
	reply := make(chan decision, 1)
	c.onEvent(requestEvent{seq: seq, reply: reply})
	c.onEvent(cancelEvent{seq: seq, reply: reply}) // handled after the start
	require.Equal(t, decisionStart, <-reply)
	require.Equal(t, 1, c.scheduler.Running(), "its goroutine has not reported the end")
	c.onEvent(runEndEvent{seq})
	require.False(t, c.scheduler.Busy())
}

// TestRepeatedCallDisturbsNobody sends a second request with the same claim and
// cancels it. The first request must keep its slot.
func TestRepeatedCallDisturbsNobody(t *testing.T) {
	c, seq := newTestCore()
	first, second := make(chan decision, 1), make(chan decision, 1)
	c.onEvent(requestEvent{seq: seq, reply: first})
	require.Equal(t, decisionStart, <-first)
	c.onEvent(requestEvent{seq: seq, reply: second})
	c.onEvent(cancelEvent{seq: seq, reply: second})
	require.Equal(t, decisionReject, <-second)
	require.Equal(t, 1, c.scheduler.Running())
}
