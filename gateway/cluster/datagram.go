package cluster

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// datagram bounds what routers send each other at once.
const datagram = 60 << 10

// encode writes a message as a datagram: structs as arrays, since routers of one
// fleet know the order of their fields, and names would be most of it.
func encode(message any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return out.Bytes(), err
}

// decode reads a datagram into a message.
func decode(body []byte, message any) error { return msgpack.Unmarshal(body, message) }
