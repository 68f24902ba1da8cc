// Package origin keeps which software version of the backend servers began each stream, so that
// every router can continue a stream at that version. What two versions write does not fit together,
// and callers mostly resume a stream because its router was lost. So the knowledge must outlast
// that router.
//
// While a service has servers of several versions, a router sends a record of each stream to two
// others of its region, in two data halls. Rendezvous hashing by the stream's key selects them, so a
// router that has to continue a stream knows whom to ask, whoever began it. When routers join, leave
// or are lost, those that hold a record send it to the routers that follow in its order. Versions
// count for some time after their last server has gone, since their streams may still be resumed. The
// source keeps the versions of each service, and of each router the streams whose version only a
// record tells, for the case that all routers are lost at once.
//
// A service with a single version needs no records, if there is evidence that no other one is in use:
// a call to the source that is as young as the lookup, or, while the source is away, the answers of
// most routers. Silence is no evidence.
//
// There is no agreement: records are only added, expire by themselves, and the loss of one leads to
// a refusal, never to another version.
//
// Machine makes the decisions; it uses neither clock nor network.
package origin
