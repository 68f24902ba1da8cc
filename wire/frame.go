package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the size in bytes of the largest frame that Read accepts. The
// platform stores no value above a megabyte, so every bundle is well below it.
const MaxFrame = 4 << 20

// Errors that Encode and Read return.
var (
	// ErrFrameTooLarge means that a frame is larger than MaxFrame bytes, or that a
	// received frame is empty. The link must be closed, because the rest of the
	// stream cannot be decoded.
	ErrFrameTooLarge = errors.New("control frame is empty or above the limit; close the link and check that both sides run croftvale")
	// ErrUnknownType means that the message comes from a newer release or from
	// another program.
	ErrUnknownType = errors.New("control message of unknown type; upgrade this process or check the address")
)

// Encode returns the frame of a message, including its length.
func Encode(m Message) ([]byte, error) {
	var body bytes.Buffer
	if m.Type() == TypeAlive {
		return []byte{1, byte(TypeAlive)}, nil
	}
	enc := msgpack.NewEncoder(&body)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Type())
	}
	if body.Len()+1 > MaxFrame {
		return nil, ErrFrameTooLarge
	}
	frame := binary.AppendUvarint(nil, uint64(body.Len()+1))
	frame = append(frame, byte(m.Type()))
	return append(frame, body.Bytes()...), nil
}

// Reader is the input of Read, such as a bufio.Reader.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Read reads one message and returns it with the size of its frame in bytes.
func Read(r Reader) (Message, int, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if n < 1 || n > MaxFrame {
		return nil, 0, ErrFrameTooLarge
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, 0, err
	}
	m, err := decode(Type(frame[0]), frame[1:])
	return m, uvarintLen(n) + len(frame), err
}

func uvarintLen(n uint64) int {
	return len(binary.AppendUvarint(nil, n))
}

// decode decodes the body of a frame into a message of the given type.
func decode(t Type, body []byte) (Message, error) {
	switch t {
	case TypeHello:
		return decodeAs[Hello](body)
	case TypeHeartbeat:
		return decodeAs[Heartbeat](body)
	case TypeAlive:
		return Alive{}, nil
	case TypeDemand:
		return decodeAs[Demand](body)
	case TypeFree:
		return decodeAs[Free](body)
	case TypeClaim:
		return decodeAs[Claim](body)
	case TypeDeny:
		return decodeAs[Deny](body)
	case TypeService:
		return decodeAs[Service](body)
	case TypeTotals:
		return decodeAs[Totals](body)
	case TypeHallTotals:
		return decodeAs[HallTotals](body)
	case TypeBundlePull:
		return decodeAs[BundlePull](body)
	case TypeBundleData:
		return decodeAs[BundleData](body)
	case TypeAgentRows:
		return decodeAs[AgentRows](body)
	case TypeKeyReserve:
		return decodeAs[KeyReserve](body)
	case TypeKeyVerdict:
		return decodeAs[KeyVerdict](body)
	case TypeKeyRelease:
		return decodeAs[KeyRelease](body)
	case TypeName:
		return decodeAs[Name](body)
	}
	return nil, ErrUnknownType
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %s", m.Type())
	}
	return m, nil
}
