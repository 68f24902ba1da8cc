// Package direct decides where a request runs when routers call backend
// servers themselves, without an agent beside each server.
//
// A Machine is a pure state machine: it is told what happened, with the time in
// the message, and returns commands for its router to carry out. It admits a
// request to a server while the server's backlog lets the request meet its
// objective, keeps a short fair queue for the rest, refuses what cannot be served
// in time, and decides on retries within one budget for the fleet.
//
// While a service moves to another version, a gate says which servers get what, and
// the machine tells how answers of the new version compare with those of the old
// ones; package rollout decides on the move.
//
//	m := direct.NewMachine(direct.Options{Zone: "hall-a"})
//	m.Update(direct.ConfigMsg{Now: now, Config: cfg})
//	m.Update(direct.ServersMsg{Now: now, Directory: dir})
//	commands := m.Update(direct.ArriveMsg{Now: now, Request: r})
package direct
