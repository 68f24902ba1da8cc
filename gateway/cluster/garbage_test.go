package cluster

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// maxDecodedBytes bounds the memory that a datagram may take while it is decoded.
const maxDecodedBytes = 4 * maxDatagramSize

// TestGarbledDatagramsTakeLittleMemory guards against datagrams of a few bytes that announce arrays of any
// length: the decoder would allocate them before it reads them.
func TestGarbledDatagramsTakeLittleMemory(t *testing.T) {
	beat, err := encodeHeartbeat(heartbeat{
		Address: "10.1.0.33", Hall: "a", Knows: feed.Revisions{3, 9, 11}, Members: []string{"10.2.0.1"},
		Suspects: []quarantine.Report{{Content: 1 << 60, Crashes: []quarantine.CrashReport{{Server: 1 << 31, Age: 40}}}},
	})
	require.NoError(t, err)
	list, err := encode(loadList{From: "10.1.0.33", Kind: loads.Report, Hall: "a", Copies: []loads.Copy{{Part: 1 << 60, Server: 7}}})
	require.NoError(t, err)
	for name, c := range map[string]struct {
		body   []byte
		decode func([]byte)
	}{
		"heartbeat": {beat, func(body []byte) { _, _ = decodeHeartbeat(body) }},
		"loads":     {list, func(body []byte) { _ = decode(body, &loadList{}) }},
	} {
		for at := range c.body {
			garbled := slices.Concat(c.body[:at], []byte{0xdd, 0, 0x10, 0, 0}, c.body[at:]) // an array of a million
			require.Less(t, allocated(func() { c.decode(garbled) }), maxDecodedBytes, fmt.Sprint(name, " at ", at))
		}
	}
}

// allocated returns the number of bytes that f allocates.
func allocated(f func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}
