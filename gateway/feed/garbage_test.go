package feed

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestGarbledPullsTakeLittleMemory guards against the content of another router that announces arrays of any
// length in a few bytes: the decoder would allocate them before it reads them.
func TestGarbledPullsTakeLittleMemory(t *testing.T) {
	const maxDecodedBytes = 1 << 20
	sender := newTestSet()
	sender.Config.Offer(&direct.Config{Version: 3, Routes: []direct.Route{{Name: "r"}}}, fromSource)
	sender.Servers.OfferAll(&direct.Directory{Revision: 9, Servers: []direct.Server{{ID: "i-1"}}}, fromSource)
	sender.Evacuations.Offer(&direct.Evacuations{Revision: 11, Halls: []string{"b"}}, fromSource)
	sender.Quarantine.Offer(&Listing[quarantine.Fingerprint]{Revision: 13, All: []quarantine.Fingerprint{7}}, fromSource)
	sender.QuarantinedParts.Offer(&Listing[quarantine.Fingerprint]{Revision: 15, All: []quarantine.Fingerprint{8}}, fromSource)
	for i, f := range sender.feeds {
		body, err := msgpack.Marshal(f.ContentSince(0))
		require.NoError(t, err)
		for at := range body {
			garbled := slices.Concat(body[:at], []byte{0xdd, 0, 0x10, 0, 0}, body[at+1:]) // an array of a million
			receiver := newTestSet()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_ = receiver.feeds[i].ApplyPulled(garbled, "test")
			runtime.ReadMemStats(&after)
			require.Less(t, int(after.TotalAlloc-before.TotalAlloc), maxDecodedBytes, fmt.Sprint(f.Spec().Name, " at ", at))
		}
	}
}
