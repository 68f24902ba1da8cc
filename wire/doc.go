// Package wire defines the control messages between croftvale's processes
// and their framing: a 4-byte big-endian length, one byte of type, and a
// msgpack body. Request bodies and answers never travel here.
//
//	_, err := wire.Write(conn, wire.Heartbeat{Generation: 7})
//	msg, n, err := wire.Read(conn)
package wire
