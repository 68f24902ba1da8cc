// Package link carries control messages between processes over TCP. A Conn has
// one goroutine that reads and one that writes; both are joined to the rest of
// the process by bounded channels. A peer that does not keep up loses its
// link, never the process its time.
//
//	conn, err := link.Dial(ctx, addr, opts)
//	conn.Send(wire.Heartbeat{Generation: 7})
package link
