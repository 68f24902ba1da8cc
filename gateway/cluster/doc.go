// Package cluster is what a router knows of the others and tells them: how it finds them,
// the heartbeats by which each knows who is there and how new what it knows is, and the
// loads that each has at servers. From that follows who follows the source.
//
// Peers keeps what is known of the other routers and decides by it; heartbeats,
// loadExchange and members send and receive.
package cluster
