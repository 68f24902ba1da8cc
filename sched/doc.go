// Package sched decides which team's work an agent runs next on its backend
// server and accounts for the service that each team has received. The Machine
// performs no I/O and reads no clock: it takes messages that carry the time and
// returns commands.
//
//	m := sched.New(sched.Config{Slots: 8, Works: works, Shares: shares})
//	for _, c := range m.Update(sched.DemandMsg{Now: now, Router: "router-1", Counts: counts}) {
//		perform(c) // a ClaimCmd asks the router for one request
//	}
//
// A team's virtual service is the slot time that it has received from the whole
// fleet, divided by its share. The waiting team with the least virtual service
// is served next. A lift is an amount added to a team's virtual service, so that
// idle time earns no credit and only a bounded deficit is repaid.
package sched
