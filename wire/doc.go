// Package wire defines the control messages between croftvale's processes and
// their framing: the length as a varint, one byte for the type, and a msgpack
// body. Requests and responses are never sent as control messages.
//
//	frame, err := wire.Encode(wire.Heartbeat{Generation: 7})
//	msg, n, err := wire.Read(bufio.NewReader(conn))
package wire
