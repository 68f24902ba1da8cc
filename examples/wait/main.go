// Command wait shows what a router does with three requests of a team that may
// have two waiting: the third has its final answer at once, the first runs when
// an agent claims it, and the second waits as long as it may.
package main

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/queue"
)

func main() {
	line := fleet.DemandKey{Work: "report", Team: "zurich", Class: fleet.Ordinary}
	m := queue.New(queue.Config{
		MaxWaiting:        100,
		MaxWaitingPerTeam: map[fleet.Team]int{"zurich": 2},
		MaxWait:           time.Minute,
	})
	m.Update(queue.AgentUpMsg{Agent: "engine-1", Works: []fleet.Work{"report"}})
	for id := range queue.RequestID(3) {
		show(m.Update(queue.ArriveMsg{Request: queue.Request{ID: id + 1, Key: line}}))
	}
	claim := fleet.ClaimID{Agent: "engine-1", Incarnation: 1, Seq: 1}
	show(m.Update(queue.ClaimMsg{Now: time.Second, Claim: claim, Key: line}))
	show(m.Update(queue.TickMsg{Now: 2 * time.Minute}))
}

func show(cmds []queue.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case queue.RunCmd:
			fmt.Printf("request %d runs for claim %s\n", c.ID, c.Claim)
		case queue.RefuseCmd:
			fmt.Printf("request %d is refused: %s, ran: %s, come back after %s\n", c.ID, c.Reason, c.Ran, c.RetryAfter)
		}
	}
}
