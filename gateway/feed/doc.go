// Package feed distributes the data that all routers must agree on: the configuration, the
// list of servers, the evacuated data halls, the quarantine and, if rollouts are enabled,
// their orders and the records of the versions in use. Each of them is a feed. A few routers
// follow the Source of the feeds. Heartbeats carry the newest revision that a router has of
// each feed, and routers with older revisions pull the content from it. A router applies only
// content that is newer than its own, wherever it comes from.
//
// Each feed has its own file, which holds its part of the Source, how it is read and watched,
// how newer content is passed to the state machine, and a Spec. To add a feed, write such a
// file, embed its source in Source, and append the feed to Set.
package feed
