// Package serverlist holds the list of servers that routers pass on to each other: the whole
// list to a router without one, and the changes to a router with an earlier list. It does no I/O.
package serverlist
