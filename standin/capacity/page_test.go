package capacity

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPageAgreesWithSlopes holds that the page's figures are what the committed
// slopes give.
func TestPageAgreesWithSlopes(t *testing.T) {
	data, err := os.ReadFile("../../docs/capacity.json")
	require.NoError(t, err)
	var s Slopes
	require.NoError(t, json.Unmarshal(data, &s))
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	want, ok := Replace(string(page), Page(s))
	require.True(t, ok, "the page has lost its marks")
	require.Equal(t, want, string(page), `run "go run ./standin/cmd/capacity --page docs/CAPACITY.md --slopes docs/capacity.json"`)
}

// TestByteSlopesAreCurrent holds that the committed sizes of frames are those
// of the code; they don't depend on the machine.
func TestByteSlopesAreCurrent(t *testing.T) {
	data, err := os.ReadFile("../../docs/capacity.json")
	require.NoError(t, err)
	var committed, now Slopes
	require.NoError(t, json.Unmarshal(data, &committed))
	now.measureFrames()
	require.Equal(t, now.ClaimBytes, committed.ClaimBytes)
	require.Equal(t, now.DemandBytes, committed.DemandBytes)
	require.Equal(t, now.DenyBytes, committed.DenyBytes)
	require.Equal(t, now.ServiceRowBytes, committed.ServiceRowBytes)
	require.Equal(t, now.AliveBytes, committed.AliveBytes)
	require.Equal(t, now.KeyBytes, committed.KeyBytes)
}
