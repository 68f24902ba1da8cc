// Package quarantine decides which requests are not sent to backend servers any more, since
// servers crash under them.
//
// A request that crashes the server that runs it comes again: its caller tries once more, or
// somebody sends the same later, through any router. Suspects keeps, by content, which servers
// crashed while they ran it, for longer than any request lasts. Routers tell one another of
// suspects, so each knows what all have seen. A content under which three servers crashed is
// barred: its requests are refused at once.
//
// A server runs many requests, and a crash ends all of them. So a crash counts for those
// only that had just begun, and not for a content that another one explains: one that was
// there and has seen more crashes. Where more than three servers crashed under a content that others
// explain, one crash that none does is enough. A whole answer clears a content of everything
// before it.
//
//	var s quarantine.Suspects
//	s.Crashed(now, content, server)
//	if s.Barred(now, content) { ... }
package quarantine
