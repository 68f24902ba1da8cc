// Package direct decides where a request runs when routers call backend servers themselves,
// without an agent beside each server.
//
// A Machine is a pure state machine: it receives events as messages, which carry the time, and
// returns commands for its router to carry out. It sends a request to a server if the server's
// backlog lets the request meet its objective, keeps a short fair queue for the rest, refuses
// requests that can't be served in time, and limits retries by one budget for the fleet.
//
// During a rollout of a service, a gate sets which servers receive which requests, and the
// machine reports how responses of the new version compare with those of the old ones. Package
// rollout decides how the rollout proceeds.
//
//	m := direct.NewMachine(direct.Options{Zone: "hall-a"})
//	m.Update(direct.ConfigMsg{Now: now, Config: cfg})
//	m.Update(direct.ServersMsg{Now: now, Directory: dir})
//	commands := m.Update(direct.RequestMsg{Now: now, Request: r})
package direct
