package msgpackcheck

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of arrays and maps.
const maxDepth = 32

// ErrInvalid means that the data are no MessagePack, end too early for the lengths that they announce, or
// exceed the limit on nesting.
var ErrInvalid = errors.New("the data are no valid MessagePack")

// Check returns ErrInvalid unless the data begin with up to the given number of whole values. Data that
// follow are not checked.
func Check(data []byte, values int) error {
	for ; values > 0 && len(data) > 0; values-- {
		var err error
		if data, err = skipValue(data); err != nil {
			return err
		}
	}
	return nil
}

// skipValue returns the data after the first value.
func skipValue(data []byte) ([]byte, error) {
	left := make([]int, 1, maxDepth) // values that are left at each depth
	left[0] = 1
	for len(left) > 0 {
		top := len(left) - 1
		if left[top] == 0 {
			left = left[:top]
			continue
		}
		left[top]--
		size, children, ok := parse(data)
		if !ok || size > len(data) || children > len(data)-size || len(left) == maxDepth {
			return nil, ErrInvalid
		}
		data = data[size:]
		left = append(left, children)
	}
	return data, nil
}

// parse returns the size of the value at the beginning of the data, without the values that it holds if it is
// an array or a map, and their number.
func parse(data []byte) (size, children int, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	code := data[0]
	switch {
	case code <= 0x7f || code >= 0xe0: // small integers
		return 1, 0, true
	case code <= 0x8f: // small maps
		return 1, 2 * int(code&0x0f), true
	case code <= 0x9f: // small arrays
		return 1, int(code & 0x0f), true
	case code <= 0xbf: // short strings
		return 1 + int(code&0x1f), 0, true
	}
	f := formats[code-firstFormat]
	if f.kind == invalid {
		return 0, 0, false
	}
	length, ok := readLength(data[1:], f.lengthBytes)
	size = 1 + f.lengthBytes + f.fixedBytes
	switch f.kind {
	case bytesOf:
		size += length
	case arrayOf:
		children = length
	case mapOf:
		children = 2 * length
	}
	return size, children, ok
}

// readLength reads a length of 0, 1, 2 or 4 bytes.
func readLength(data []byte, bytes int) (length int, ok bool) {
	if len(data) < bytes {
		return 0, false
	}
	switch bytes {
	case 1:
		length = int(data[0])
	case 2:
		length = int(binary.BigEndian.Uint16(data))
	case 4:
		length = int(binary.BigEndian.Uint32(data))
	}
	return length, true
}
