package direct

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSharesAreWritten shows the shares of a router where nobody is held back, as JSON.
func TestSharesAreWritten(t *testing.T) {
	b := newBench(t, 2)
	b.sent(b.arrive(b.request("red", PromptPart{ID: 1, Tokens: 500})))
	b.pass(time.Second)
	require.True(t, math.IsInf(b.m.even, 1))
	_, err := json.Marshal(b.m.Shares(b.now, 3))
	require.NoError(t, err)
}
