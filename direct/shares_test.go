package direct

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSharesMarshalJSON shows the shares of a router where nobody is held back, as JSON.
func TestSharesMarshalJSON(t *testing.T) {
	b := newHarness(t, 2)
	b.sent(b.arrive(b.request("red", PromptPart{ID: 1, Tokens: 500})))
	b.advance(time.Second)
	require.True(t, math.IsInf(b.m.evenCap, 1))
	_, err := json.Marshal(b.m.Shares(b.now, 3))
	require.NoError(t, err)
}
