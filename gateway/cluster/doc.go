// Package cluster connects a router to the others of its fleet. It finds the other routers,
// exchanges heartbeats with them, which show who is alive and which revisions each of them has, and
// exchanges the loads that each of them has at the servers. From the heartbeats it also decides
// which routers follow the source.
//
// Peers holds the state of the other routers and makes the decisions; heartbeats, loadExchange and
// discovery send and receive.
package cluster
