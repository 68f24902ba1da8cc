// Command decide drives an agent's decisions by hand: two teams with shares 2
// and 1 wait, and one slot serves them in turn. Nothing runs; the machine is
// told what happens and says what it wants.
package main

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/sched"
)

const (
	work  = fleet.Work("report")
	turns = 9
	cost  = 100 * time.Millisecond
)

func main() {
	m := sched.New(sched.Config{
		Slots:  1,
		Works:  []fleet.Work{work},
		Shares: map[fleet.Team]float64{"large": 2, "small": 1},
	})
	m.Update(sched.RouterUpMsg{Router: "router-1"})
	m.Update(sched.DemandMsg{Router: "router-1", Counts: []fleet.QueueCount{
		{Key: fleet.DemandKey{Work: work, Team: "large"}, Waiting: 100},
		{Key: fleet.DemandKey{Work: work, Team: "small"}, Waiting: 100},
	}})
	cmds := m.Update(sched.HealthMsg{Serving: true})
	now := time.Duration(0)
	for range turns {
		claim := cmds[0].(sched.ClaimCmd)
		fmt.Println(now, "serves", claim.Key.Team)
		m.Update(sched.ArriveMsg{Now: now, Seq: claim.Seq, Remaining: 100})
		now += cost
		cmds = m.Update(sched.EndMsg{Now: now, Seq: claim.Seq})
	}
	for _, t := range m.Teams() {
		fmt.Printf("%s: share %g, service %d ms\n", t.Team, t.Share, t.OwnMS)
	}
}
