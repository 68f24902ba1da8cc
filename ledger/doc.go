// Package ledger aggregates the service counters that agents report, and sends
// each agent the totals of the rest of the fleet. It runs on the routers that
// act as hubs. Counters are keyed by agent and incarnation and only grow, so they
// merge by maximum. Lost, repeated or reordered messages, partitions and restarts
// without state reduce accuracy temporarily but never permanently. The Hub
// performs no I/O and reads no clock.
//
//	h := ledger.NewHub("router-1", "a")
//	cmds := h.Update(ledger.ServiceMsg{Now: now, Source: src, Hall: "a", Rows: rows})
package ledger
