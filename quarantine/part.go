package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxPartsPerRequest is the maximum number of a prompt's parts that a crash under it counts for.
const maxPartsPerRequest = 64

// PartFingerprint returns the fingerprint of a prompt part: its ID. The ID 0 identifies no part.
func PartFingerprint(id uint64) Fingerprint { return Fingerprint(id) }

// PartSet holds the fingerprints of a prompt's shared parts, each once. A prompt with more than
// maxPartsPerRequest parts is represented by the first of them, and by a fingerprint that stands
// for all such prompts of its team. Otherwise, a caller could keep a part from being barred by
// hiding it among thousands of others.
type PartSet struct {
	team         string
	fingerprints []Fingerprint
}

// NewPartSet returns an empty set for a prompt of a team.
func NewPartSet(team string) PartSet { return PartSet{team: team} }

// Add adds the part with the given ID.
func (p *PartSet) Add(id uint64) {
	f := PartFingerprint(id)
	switch {
	case f == 0 || len(p.fingerprints) > maxPartsPerRequest || p.has(f):
	case len(p.fingerprints) == maxPartsPerRequest:
		p.fingerprints = append(p.fingerprints, ManyPartsFingerprint(p.team))
	default:
		p.fingerprints = append(p.fingerprints, f)
	}
}

func (p *PartSet) has(f Fingerprint) bool { return slices.Contains(p.fingerprints, f) }

// Fingerprints returns the fingerprints in the order in which they were added.
func (p *PartSet) Fingerprints() []Fingerprint { return p.fingerprints }

// ManyPartsFingerprint returns the fingerprint that stands for all prompts of a team that have more
// than maxPartsPerRequest shared parts.
func ManyPartsFingerprint(team string) Fingerprint {
	return Fingerprint(max(xxhash.Sum64String("many parts\x00"+team), 1))
}

// HasManyParts reports whether a prompt with n shared parts may have more than a PartSet holds.
func HasManyParts(n int) bool { return n > maxPartsPerRequest }
