// Package queue holds a router's waiting requests and decides when each is sent
// to an agent, retried or refused. A request waits here until an agent claims
// it, so a request that was never claimed is known not to have run. The Machine
// performs no I/O and reads no clock: it takes messages that carry the time and
// returns commands for the caller to carry out.
//
//	m := queue.New(queue.Config{Self: "router-1", Hall: "a"})
//	for _, c := range m.Update(queue.RequestMsg{Now: now, Request: r}) {
//		perform(c)
//	}
package queue
