package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestCrashNamesParts checks that operators can find the prompt part that the suspects of several
// crashes have in common.
func TestCrashNamesParts(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "router")
	many := make([]direct.PromptPart, maxNamedParts+2)
	l.Crash(direct.CrashCmd{Suspects: []direct.CrashSuspect{
		{Fingerprint: 1, Parts: []direct.PromptPart{{ID: 0x5c1e07a2}, {ID: 0xab}}},
		{Fingerprint: 2, Parts: many},
	}})
	l.Close()
	var line struct{ Contents, Parts []string }
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, []string{"0000000000000001", "0000000000000002"}, line.Contents)
	require.Equal(t, []string{"5c1e07a2 ab", "0 0 0 0 0 0 0 0 and 2 more"}, line.Parts)
}
