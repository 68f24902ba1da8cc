package gateway

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnyBodyLimit guards against bodies without a length that are all refused, since the largest limit overflows.
func TestAnyBodyLimit(t *testing.T) {
	for _, limit := range []int64{4, 5, math.MaxInt64 - 1, math.MaxInt64} {
		body, err := readBuffered(strings.NewReader("body"), -1, limit, func(int) bool { return true })
		require.NoError(t, err, limit)
		require.Equal(t, "body", string(body))
	}
	_, err := readBuffered(strings.NewReader("body"), -1, 3, func(int) bool { return true })
	require.ErrorIs(t, err, errTooLarge)
}
