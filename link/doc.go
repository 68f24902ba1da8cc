// Package link carries control messages between processes over TCP. A Conn has one
// goroutine that reads and one that writes; bounded channels connect both to the rest
// of the process. A peer that does not keep up loses its link and never blocks the
// process.
//
//	go link.KeepConnected(ctx, addr, opts, onEnd)
//	up := <-events // EventUp
//	up.Conn.Send(wire.Heartbeat{Generation: 7})
package link
