// Package queue decides what a router does with its callers' requests. A
// request waits here until an agent claims it, so a request that waits has
// provably not run. The Machine is pure: messages with the time in them go
// in, commands come out, and the caller carries the commands out.
//
//	m := queue.New(queue.Config{Self: "router-1", Hall: "a"})
//	for _, c := range m.Update(queue.ArriveMsg{Now: now, Request: r}) {
//		perform(c)
//	}
package queue
