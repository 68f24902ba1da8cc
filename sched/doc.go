// Package sched decides which team's work an agent runs next on its backend
// server, and keeps account of the service that each team has had. The
// Machine is pure: messages with the time in them go in, commands come out.
//
//	m := sched.New(sched.Config{Self: "engine-1", Slots: 8, Works: works, Shares: shares})
//	for _, c := range m.Update(sched.DemandMsg{Now: now, Router: "router-1", Rows: rows}) {
//		perform(c) // a ClaimCmd asks the router for one request
//	}
//
// A team's virtual service is the slot time that the whole fleet has given it,
// divided by its share; the team with the least is served next.
package sched
