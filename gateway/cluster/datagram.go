package cluster

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// maxDatagramSize bounds what routers send each other at once.
const maxDatagramSize = 60 << 10

// encode writes a message as a datagram: structs as arrays, since routers of one
// fleet know the order of their fields, and names would be most of it. A message that is
// written so never changes; see docs/design/compatibility.md.
func encode(message any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return out.Bytes(), err
}

// encodeExtended writes a message and, after it, what routers of the first builds don't read.
func encodeExtended(message, extension any) ([]byte, error) {
	body, err := encode(message)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer(body)
	err = msgpack.NewEncoder(out).Encode(extension)
	return out.Bytes(), err
}

// decode reads a datagram into a message.
func decode(body []byte, message any) error { return msgpack.Unmarshal(body, message) }

// decodeExtended reads a datagram into a message and, where it has one, its second value.
func decodeExtended(body []byte, message, extension any) error {
	in := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(in)
	if err := decoder.Decode(message); err != nil {
		return err
	}
	if in.Len() == 0 {
		return nil
	}
	return decoder.Decode(extension)
}
