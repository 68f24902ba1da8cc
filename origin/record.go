package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLifetime is the longest time for which a stream can be resumed after it has begun.
	MaxLifetime = 10 * time.Minute
	// MinLifetime is the shortest lifetime of a record.
	MinLifetime = time.Second
)

// Key identifies a stream in the fleet.
type Key uint64

// KeyOf returns the key of the stream whose first event came with an attempt. A team cannot name the
// streams of another one.
func KeyOf(service, team, attemptID string) Key {
	var d xxhash.Digest
	for _, part := range []string{service, team, attemptID} {
		_, _ = d.WriteString(part) // a hash never fails
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// unknownVersion stands for a version that nobody knows, since routers contradict one another or the server
// had restarted since its entry was written. It counts as a version of its own while such a stream may be
// resumed, so that no stream is taken for one of the only version that is listed.
const unknownVersion = ""

// Record tells which version began a stream.
type Record struct {
	Key     Key
	Version string // empty: nobody knows, so the stream can't be continued
	// Lifetime is how long the stream may still be resumed.
	Lifetime time.Duration
}
