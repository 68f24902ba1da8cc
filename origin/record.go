package origin

import (
	"strings"
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

// UnknownVersion begins the version in the record of a stream that began at a server which had restarted since
// its entry. What follows names the start of the server, if it is known; its entry tells the version.
const UnknownVersion = "\x00"

// pendingVersion is the version in the record of a stream that has yet to begin at such a server. Any other
// version replaces it.
const pendingVersion = UnknownVersion + "\x00"

func isUnknown(version string) bool { return strings.HasPrefix(version, UnknownVersion) }

// contradicted is the version of a stream for which routers have recorded different ones.
const contradicted = ""

// Record tells which version began a stream.
type Record struct {
	Key     Key
	Version string
	// Lifetime is how long the stream may still be resumed.
	Lifetime time.Duration
}
