package msgpackcheck

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestWhatIsEncodedIsValid guards against messages of other routers that are taken for garbage.
func TestWhatIsEncodedIsValid(t *testing.T) {
	for _, value := range []any{
		nil, true, 1, -1, math.MaxInt8, math.MinInt16, math.MaxInt32, math.MinInt64, uint64(math.MaxUint64), float32(1), 1.5,
		"", "x", strings.Repeat("x", 40), strings.Repeat("x", 300), strings.Repeat("x", 1<<17),
		[]byte{}, make([]byte, 300), make([]byte, 1<<17), time.Unix(1, 2), []int{}, []int{1, 2}, make([]string, 20), make([]int, 1<<17),
		map[string]int{"a": 1}, map[int][]string{1: {"a"}, 2: nil}, struct{ A, B any }{[]any{1, "x"}, map[string]any{"y": 2.5}},
	} {
		data, err := msgpack.Marshal(value)
		require.NoError(t, err)
		rest, err := skipValue(data)
		require.NoError(t, err, "%T", value)
		require.Empty(t, rest, "%T", value)
		require.NoError(t, Check(append(data, 0xc1), 1), "%T", value)
		require.Error(t, Check(append(data, 0xc1), 2), "%T", value)
		if len(data) > 1 {
			require.ErrorIs(t, Check(data[:len(data)-1], 1), ErrInvalid, "%T", value)
		}
	}
}

// TestLengthsNeedBytes guards against lengths that announce more than there is, and against any depth.
func TestLengthsNeedBytes(t *testing.T) {
	for name, data := range map[string][]byte{
		"array":       {0xdd, 0xff, 0xff, 0xff, 0xff, 1},
		"map":         {0xdf, 0xff, 0xff, 0xff, 0xff, 1, 1},
		"string":      {0xdb, 0xff, 0xff, 0xff, 0xff, 1},
		"binary":      {0xc6, 0xff, 0xff, 0xff, 0xff, 1},
		"extension":   {0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"half length": {0xdd, 0xff},
		"inner array": {0x92, 1, 0xdc, 0xff, 0xff, 1},
		"depth":       bytes.Repeat([]byte{0x91}, 1<<20),
	} {
		require.ErrorIs(t, Check(data, 1), ErrInvalid, name)
	}
}

// FuzzCheck guards against panics.
func FuzzCheck(f *testing.F) {
	f.Add([]byte{0x92, 1, 0xdc, 0, 1, 0xa1, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = Check(data, 2)
	})
}
