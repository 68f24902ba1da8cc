package once

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// OwnersPerKey is how many agents note a key.
	OwnersPerKey = 3
	// KeyTTL is how long a key is remembered.
	KeyTTL = 10 * time.Minute
	// MaxClockSkew is how far the clocks of callers and hosts may lie apart.
	MaxClockSkew = 5 * time.Second
)

// Key is an idempotency key in the scope of its team and work, as a digest.
type Key struct {
	Work   fleet.Work
	Digest [16]byte
}

// NewKey returns the key for a caller's text.
func NewKey(team fleet.Team, work fleet.Work, text string) Key {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + string(work) + "\x00" + text))
	return Key{Work: work, Digest: [16]byte(sum[:16])}
}

// Owners returns the agents that own a key, given those of its work's servers.
func Owners(k Key, pool []fleet.Name) []fleet.Name {
	return fleet.Rendezvous("key/"+string(k.Work)+"/"+hex.EncodeToString(k.Digest[:]), pool, OwnersPerKey)
}

// Quorum returns how many of n owners must vouch for a key.
func Quorum(n int) int { return n/2 + 1 }

// Holder names the one request that holds a key.
type Holder struct {
	Router      fleet.Name
	Incarnation fleet.Incarnation
	Request     uint64
}

// Verdict is what one owner says of a key.
type Verdict uint8

// The verdicts.
const (
	// VerdictReserved means that the owner did not know the key, has noted it, and
	// would know it if it had been noted before.
	VerdictReserved Verdict = iota
	// VerdictDuplicate means that another request holds the key.
	VerdictDuplicate
	// VerdictUncertain means that the owner has noted the key, but cannot vouch
	// for the time before.
	VerdictUncertain
)
