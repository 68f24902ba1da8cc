package direct

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSharesMarshalJSON encodes the shares of a router without limited teams as JSON, which has
// no infinite numbers.
func TestSharesMarshalJSON(t *testing.T) {
	h := newHarness(t, 2)
	h.sent(h.arrive(h.request("red", PromptPart{ID: 1, Tokens: 500})))
	h.advance(time.Second)
	require.True(t, math.IsInf(h.m.evenCap, 1))
	_, err := json.Marshal(h.m.Shares(h.now, 3))
	require.NoError(t, err)
}
