// Package loads brings together what all routers have at each server, soon enough
// for each of them to place the next request by it.
//
// Every router reports to one aggregator, the most powerful router of its hall
// that answers, and gets back what all the others have. Aggregators tell each
// other the sums of those that report to them. A router thus exchanges a few
// hundred bytes with one other per round, however many there are.
//
// The same lists tell what routers see of teams, ten times a second: a router learns
// what a team gets through all others from one of them, in place of hearing each. What
// the routers of another hall see crosses between halls once for the hall. Reports of
// roll-outs go with them.
//
// Halls lie in regions. The best router of a region tells one of each other region, with
// the lists that tell of teams, what its whole region has; that one passes it on to its
// halls' aggregators, and they to their routers. So what a region has is sent to another
// region once, not to each of its routers. That loads of far servers are then a tenth of a
// second late does little harm: they matter only where near ones are full. Lists of one
// region cover the same routers whoever sends them: each router counts one list of each
// other region, never two.
//
// Copies of prompts' parts go with the lists within a region, each in a few lists to each
// receiver. They do not cross between regions: a request goes to a far server only when its
// own region is full, and then where there is room rather than where its prompt is kept.
//
// A digest that would name hundreds of servers is sent as a delta: what has changed since
// the last full digest that the receiver, by its report, holds.
//
// Nothing is agreed on and nothing lasts: each report holds all that its router has and
// replaces the last, and what has not been renewed is dropped. Where routers differ about the
// aggregator of their hall, each sum still counts every router once, but for the
// moments after an aggregator is lost, while its last sum still holds.
//
// Exchange decides; it knows no clock and no network.
package loads
