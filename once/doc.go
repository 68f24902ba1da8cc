// Package once keeps a request that bears an idempotency key from running
// twice, whichever routers its caller tries, without a store that lasts.
//
// Three agents own each key, by rendezvous hashing over the servers of the
// work. A router may take a request once most of the owners have noted its key
// and none knew it. An owner that cannot vouch for the past, because it started
// or became an owner too recently, says so and does not count. Any two attempts
// therefore meet in an owner that remembers the first; where that cannot be had
// the request is not run.
//
//	m := once.NewMemory(once.MemoryConfig{Self: "app-1", StartedAt: wall})
//	v := m.Update(once.ReserveMsg{Now: now, Key: key, Holder: holder})
package once
