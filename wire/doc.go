// Package wire defines the control messages between croftvale's processes
// and their framing: a length as a varint, one byte of type, and a msgpack
// body. Request bodies and answers never travel here.
//
//	frame, err := wire.Encode(wire.Heartbeat{Generation: 7})
//	msg, n, err := wire.Read(bufio.NewReader(conn))
package wire
