package cluster

import (
	"bytes"

	"github.com/croftvale/croftvale/internal/msgpackcheck"
	"github.com/vmihailenco/msgpack/v5"
)

// maxDatagramSize is the maximum size of a datagram between routers, in bytes.
const maxDatagramSize = 60 << 10

// encode encodes a message as a datagram. Structs are encoded as arrays: all routers of a fleet
// have the same field order, and field names would take most of the bytes. A message encoded this
// way never changes; see docs/design/compatibility.md.
func encode(message any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return out.Bytes(), err
}

// encodeExtended encodes a message followed by an extension, which routers of the first builds do
// not read.
func encodeExtended(message, extension any) ([]byte, error) {
	body, err := encode(message)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer(body)
	err = msgpack.NewEncoder(out).Encode(extension)
	return out.Bytes(), err
}

// decode decodes a datagram into a message.
func decode(body []byte, message any) error {
	if err := msgpackcheck.Check(body, 1); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, message)
}

// decodeExtended decodes a datagram into a message and, if present, an extension.
func decodeExtended(body []byte, message, extension any) error {
	if err := msgpackcheck.Check(body, 2); err != nil {
		return err
	}
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
