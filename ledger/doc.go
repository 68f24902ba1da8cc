// Package ledger adds up the service that every agent reports, for the routers
// that have the duty of a hub. Counters are keyed by agent and incarnation and
// only grow, so they merge by maximum: lost, repeated and reordered messages,
// partitions and restarts with no state cost accuracy for a moment, never for
// good. The Hub is pure.
//
//	h := ledger.NewHub("router-1", "a")
//	cmds := h.Update(ledger.ServiceMsg{Now: now, Source: src, Hall: "a", Rows: rows})
package ledger
