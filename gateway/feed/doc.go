// Package feed is what all routers have to agree on: the configuration, the list of
// servers, the evacuated data halls, and where roll-outs are on their orders and the records
// of versions in use. Each is a feed of a Source that a few routers follow.
// Heartbeats carry the newest revision of each feed that a router knows, and the others
// pull from those that know more; whoever has it, only newer content is put in force.
//
// A feed is one file: its part of the Source, how it is read and watched, what newer
// content means to the decisions, and an About for the rest. To add one, write that file,
// embed its source in Source, and append the feed to Set.
package feed
