// Package eventlog writes a router's log: a JSON line for each decision on a request and for
// each change of the router's view of servers, halls and other routers. It never blocks the
// router, even if writes to standard output block.
package eventlog
