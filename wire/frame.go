package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest frame, in bytes, that Read accepts. The platform
// holds no value above a megabyte, so no bundle comes near it.
const MaxFrame = 4 << 20

const headerLen = 5

// Errors that Read and Write return.
var (
	// ErrFrameTooLarge means that the other side sent, or was to be sent, more
	// than MaxFrame bytes. Close the link: the stream can't be trusted.
	ErrFrameTooLarge = errors.New("control frame above the limit; close the link and check that both sides run croftvale")
	// ErrUnknownType means a message of a newer or foreign program.
	ErrUnknownType = errors.New("control message of unknown type; upgrade this process or check the address")
)

// Encode returns the whole frame of a message.
func Encode(m Message) ([]byte, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Type())
	}
	if len(body)+1 > MaxFrame {
		return nil, ErrFrameTooLarge
	}
	frame := make([]byte, headerLen, headerLen+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)+1))
	frame[4] = byte(m.Type())
	return append(frame, body...), nil
}

// Read reads one message and returns it with the bytes that its frame took.
func Read(r io.Reader) (Message, int, error) {
	var head [headerLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1 || n > MaxFrame {
		return nil, headerLen, ErrFrameTooLarge
	}
	body := make([]byte, n-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, headerLen, err
	}
	m, err := decode(Type(head[4]), body)
	return m, headerLen + len(body), err
}

// decode turns the body of a frame into its message.
func decode(t Type, body []byte) (Message, error) {
	switch t {
	case TypeHello:
		return decodeAs[Hello](body)
	case TypeHeartbeat:
		return decodeAs[Heartbeat](body)
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
	case TypeBundleOffer:
		return decodeAs[BundleOffer](body)
	case TypeBundlePull:
		return decodeAs[BundlePull](body)
	case TypeBundleData:
		return decodeAs[BundleData](body)
	case TypeAgentRows:
		return decodeAs[AgentRows](body)
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
