// Package rollout decides how the traffic of a service moves from the servers of one
// version to those of another: which fraction of the requests the new version gets, whether
// it is good, and when the rollout is completed or rolled back.
//
// Every router runs a Machine. All routers evaluate the same evidence and stop sending to a
// bad version on their own; the leader also raises the stage and writes to the store. A
// Machine is pure: it receives events as messages, with the time in the message, and returns
// commands for its router to execute.
//
//	m := rollout.NewMachine(rollout.Bounds{Share: 0.1, Slack: 50})
//	m.Update(rollout.OrdersMsg{Now: now, Orders: orders})
//	commands := m.Update(rollout.TickMsg{Now: now, Leads: true})
package rollout
