// Package serverlist is the list of servers as routers pass it on: whole to a router that
// knows none, and as what has changed to one that knows an earlier one. It is pure.
package serverlist
