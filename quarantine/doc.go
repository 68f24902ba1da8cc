// Package quarantine decides which requests are no longer sent to backend servers because
// servers crash while they execute them.
//
// A request that crashes its server comes again: its caller retries, or somebody sends the
// same request later, through any router. Suspects records, by fingerprint of the request,
// which servers crashed while they executed it, for longer than any request lasts. Routers
// exchange reports of suspects, so each has the observations of all. A fingerprint under which
// three servers crashed is barred: its requests are refused at once.
//
// A server executes many requests, and a crash ends all of them. So a crash counts only for
// requests that had just begun, and not for a fingerprint if another one explains it: one that
// was on the same server and has more crashes. If more than three servers crashed under a
// fingerprint whose crashes others explain, one unexplained crash is enough to bar it. A
// complete response clears a fingerprint of all crashes before it.
//
//	var s quarantine.Suspects
//	s.RecordCrash(now, fingerprint, server)
//	if s.Barred(now, fingerprint) { ... }
package quarantine
