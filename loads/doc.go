// Package loads exchanges the loads that all routers put on each server, fast enough for each
// router to place its next request by them.
//
// Every router reports to one aggregator, the most powerful live router of its data hall, and
// receives a digest of the loads of all other routers. Aggregators send one another the sums of
// their routers' reports. In each round a router thus exchanges a few hundred bytes with one other
// router, whatever the number of routers.
//
// Ten times a second, the same lists carry the routers' usage by team: a router receives the usage
// through all other routers from its aggregator instead of from each of them. The usage that the
// routers of another hall report crosses between the halls once per hall. Reports of rollouts are
// sent along with it.
//
// Halls belong to regions. With the lists that carry team usage, the most powerful router of a
// region sends the totals of its region to one router of each other region. That router forwards
// them to the aggregators of its region's halls, and these forward them to their routers. A
// region's totals are thus sent to another region once, not to each of its routers. The loads of
// servers in other regions are a tenth of a second older, which does little harm: they matter only
// when the servers of the router's own region are full. All lists of a region cover the same
// routers, whoever sends them, so each router counts exactly one list per other region.
//
// Copies of prompt parts are announced in the lists within a region, each in a few lists to each
// receiver. They are not sent to other regions: a request goes to another region only when its own
// region is full, and then to a server with free capacity rather than to one that caches its
// prompt.
//
// A digest that would list hundreds of servers is sent as a delta to the last full digest that the
// receiver's report names.
//
// There is no consensus and no durable state: each report holds all loads of its router and
// replaces the previous one, and whatever is not renewed expires. Even when routers disagree about
// the aggregator of their hall, each sum counts every router once, except shortly after an
// aggregator is lost, until its last sum expires.
//
// Exchange makes the decisions; it uses neither clock nor network.
package loads
