package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFingerprintOf verifies that requests that differ in one field have different
// fingerprints, even if the concatenated fields are the same, and that a repeated request has
// the same one.
func TestFingerprintOf(t *testing.T) {
	body := []byte("body")
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		FingerprintOf("red", "POST", "h.example", "/a/x", body),
		FingerprintOf("blue", "POST", "h.example", "/a/x", body),
		FingerprintOf("red", "PUT", "h.example", "/a/x", body),
		FingerprintOf("red", "POST", "g.example", "/a/x", body),
		FingerprintOf("red", "POST", "h.example", "/a/y", body),
		FingerprintOf("red", "POST", "h.example", "/a/x?q=1", body),
		FingerprintOf("red", "POST", "h.example", "/a/x", nil),
		FingerprintOf("red", "POST", "h.example", "/a/xb", []byte("ody")),
		FingerprintOf("redP", "OST", "h.example", "/a/x", body),
	} {
		require.NotZero(t, f)
		require.False(t, seen[f])
		seen[f] = true
	}
	require.Equal(t, FingerprintOf("red", "POST", "h.example", "/a/x", []byte("body")), FingerprintOf("red", "POST", "h.example", "/a/x", body))
	require.Equal(t, "000000000000002a", Fingerprint(42).String())
}

// BenchmarkFingerprintOf measures the cost for each request: 1.0 µs with a body of 8 kB.
func BenchmarkFingerprintOf(b *testing.B) {
	body := make([]byte, 8<<10)
	for b.Loop() {
		FingerprintOf("red", "POST", "h.example", "/a/x", body)
	}
}
