package agent

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/sched"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// newCore returns a core whose one slot a claim has been made for.
func newCore() (*core, uint64) {
	c := &core{
		now:     func() time.Duration { return time.Second },
		log:     &log.Logger{Level: log.PanicLevel},
		machine: sched.New(sched.Config{Slots: 1, Works: []fleet.Work{"report"}, Shares: map[fleet.Team]float64{"ajax": 1}}),
		waiting: map[uint64]chan<- verdict{},
	}
	line := fleet.DemandKey{Work: "report", Team: "ajax"}
	c.machine.Update(sched.RouterUpMsg{Router: "r"})
	c.machine.Update(sched.DemandMsg{Router: "r", Counts: []fleet.QueueCount{{Key: line, Waiting: 1}}})
	claim := c.machine.Update(sched.HealthMsg{Serving: true})[0].(sched.ClaimCmd)
	return c, claim.Seq
}

// TestAbandonedRequestLeavesNothing lets a router give a request up while it
// starts, and while it waits.
func TestAbandonedRequestLeavesNothing(t *testing.T) {
	c, seq := newCore()
	reply := make(chan verdict, 1)
	c.onEvent(arriveEvent{seq: seq, reply: reply})
	c.onEvent(abandonEvent{seq: seq, reply: reply}) // the start crossed with it
	require.Equal(t, verdictStart, <-reply)
	require.Equal(t, 1, c.machine.Running(), "its goroutine has yet to end it")
	c.onEvent(endEvent{seq})
	require.False(t, c.machine.Busy())
}

// TestRepeatedCallDisturbsNobody sends a claim's request a second time, which
// is then given up: the first one goes on holding its slot.
func TestRepeatedCallDisturbsNobody(t *testing.T) {
	c, seq := newCore()
	first, second := make(chan verdict, 1), make(chan verdict, 1)
	c.onEvent(arriveEvent{seq: seq, reply: first})
	require.Equal(t, verdictStart, <-first)
	c.onEvent(arriveEvent{seq: seq, reply: second})
	c.onEvent(abandonEvent{seq: seq, reply: second})
	require.Equal(t, verdictReject, <-second)
	require.Equal(t, 1, c.machine.Running())
}
