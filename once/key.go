package once

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// OwnersPerKey is the number of agents that own a key.
	OwnersPerKey = 3
	// KeyTTL is how long an owner remembers a key.
	KeyTTL = 10 * time.Minute
	// MaxClockSkew is the largest tolerated difference between the clocks of
	// callers and hosts.
	MaxClockSkew = 5 * time.Second
)

// Key is an idempotency key, scoped to its team and work and stored as a digest.
type Key struct {
	Work   fleet.Work
	Digest [16]byte
}

// NewKey returns the key for the text of a caller's idempotency key.
func NewKey(team fleet.Team, work fleet.Work, text string) Key {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + string(work) + "\x00" + text))
	return Key{Work: work, Digest: [16]byte(sum[:16])}
}

// Owners returns the agents that own a key. The pool is the agents of all
// servers of the key's work.
func Owners(k Key, pool []fleet.Name) []fleet.Name {
	return fleet.Rendezvous("key/"+string(k.Work)+"/"+hex.EncodeToString(k.Digest[:]), pool, OwnersPerKey)
}

// Quorum returns how many of n owners must return VerdictReserved for a request
// to run.
func Quorum(n int) int { return n/2 + 1 }

// Holder identifies the request that holds a key.
type Holder struct {
	Router      fleet.Name
	Incarnation fleet.Incarnation
	Request     uint64
}

// Verdict is one owner's result for a reservation.
type Verdict uint8

// Verdicts of an owner.
const (
	// VerdictReserved means that the owner has reserved the key and would have
	// a record of any earlier reservation.
	VerdictReserved Verdict = iota
	// VerdictDuplicate means that another request holds the key.
	VerdictDuplicate
	// VerdictUncertain means that the owner has reserved the key but may have no
	// record of an earlier reservation, or that its table is full and the key is not
	// reserved.
	VerdictUncertain
)
