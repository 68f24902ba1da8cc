// Package once keeps a request with an idempotency key from running twice,
// whichever routers its caller tries, without a durable store.
//
// Three agents own each key, chosen by rendezvous hashing over the servers of
// the work. A router accepts a request once a majority of the owners have
// reserved its key and none has reported it as a duplicate. An owner that may
// have missed an earlier reservation, because it started or became an owner too
// recently, reports this and does not count towards the majority. Any two
// attempts therefore share an owner that remembers the first one. If no such
// majority is available, the request is not run.
//
//	t := once.NewKeyTable(once.KeyTableConfig{Self: "app-1", StartedAt: wall})
//	v := t.Update(once.ReserveMsg{Now: now, Key: key, Holder: holder})
package once
