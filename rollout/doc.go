// Package rollout decides how the traffic of a service moves from the servers of one
// version to those of another: how much of it, whether the new version is good, and
// when the move is done or taken back.
//
// A Machine runs in every router. All of them judge the same evidence and stop sending
// to a bad version by themselves; the one that leads also raises the stage and writes
// to the store. Machine is pure: it is told what happened, with the time in the message,
// and returns commands for its router to carry out.
//
//	m := rollout.NewMachine(rollout.Bounds{Share: 0.1, Slack: 50})
//	m.Update(rollout.OrdersMsg{Now: now, Orders: orders})
//	commands := m.Update(rollout.TickMsg{Now: now, Leads: true})
package rollout
