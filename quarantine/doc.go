// Package quarantine decides which requests are no longer sent to backend servers because
// servers crash while they execute them.
//
// A request that crashes its server is sent again: its caller retries, or somebody sends the
// same request later, through any router. Suspects records, by fingerprint of the request,
// which servers crashed while they executed it, for longer than any request lasts. Such a crash
// is a crash under the fingerprint. Routers exchange reports of their suspects, so that each
// has the observations of all. A fingerprint with three crashes is barred: its requests are
// refused at once.
//
// A server executes many requests at a time, and a crash ends all of them. Therefore a crash
// counts only for requests that had just begun. Of these, the one whose fingerprint has more
// crashes than the others explains the crash; it does not count against the others. However, a
// fingerprint with more than three crashes is barred by a single unexplained one. A complete
// response clears a fingerprint of all crashes before it.
//
// Requests that differ may have the cause of a crash in common: a part of their prompts. A second
// Suspects holds the fingerprints of parts, see NewPartSuspects. Most parts are shared by many
// requests, so some of them run on any server that crashes. The rules for parts therefore also
// weigh whole responses, requests that survive, and crashes elsewhere; see barring.go. A part that
// may have been barred by mistake is tried again, see MayTry.
//
//	var s quarantine.Suspects
//	s.RecordCrash(now, fingerprint, server)
//	if s.Barred(now, fingerprint) { ... }
package quarantine
