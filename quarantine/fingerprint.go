package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint identifies equal requests or a part of prompts; see Kind. The zero value identifies
// nothing.
//
// Requests of one team with the same method, host, target and body have the same fingerprint, at any
// router and on any retry. Request ids are not included, since each attempt of a caller has its own.
// It is a 64-bit hash. Requests whose fingerprints collide are treated as one: with a thousand
// suspects and 10,000 other fingerprints a second, that is one request in 60,000 years.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(team, method, host, target string, body []byte) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	var length [8]byte
	for _, field := range []string{team, method, host, target} {
		// Without the length prefixes, different fields could have the same concatenation.
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // writes to an in-memory hash never fail
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(body)
	return Fingerprint(max(h.Sum64(), 1))
}

// ErrFingerprint reports that a text is not a fingerprint.
var ErrFingerprint = errors.New("invalid request fingerprint: want 16 lowercase hexadecimal digits, not all zero")

// ParseFingerprint parses the output of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || n == 0 || Fingerprint(n).String() != text {
		return 0, errors.Wrapf(ErrFingerprint, "%q", text)
	}
	return Fingerprint(n), nil
}

// Text returns a fingerprint of a kind as operators know it: a part by its ID in hexadecimal.
func (f Fingerprint) Text(kind Kind) string {
	if kind == Part {
		return strconv.FormatUint(uint64(f), 16)
	}
	return f.String()
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
