// Package eventlog writes a router's log: one JSON line for each decision that touches a
// request or changes what the router believes. It never blocks a router whose standard
// output takes nothing.
package eventlog
