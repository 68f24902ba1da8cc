package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint names what a request asks for: requests of one team with the same method, host,
// target and body have the same content, whichever router they come to and however often.
// Each try of a caller has an id of its own, so the id doesn't tell. The zero value names
// nothing.
//
// It is a hash of 64 bits. Contents that share one by chance are treated as one: with a
// thousand suspects and 10,000 other contents a second, that is one request in 60,000 years.
type Fingerprint uint64

// FingerprintOf returns the content of a request.
func FingerprintOf(team, method, host, target string, body []byte) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	var length [8]byte
	for _, field := range []string{team, method, host, target} {
		// The lengths keep two fields from being read as another two.
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // a hash in memory takes everything
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(body)
	return Fingerprint(max(h.Sum64(), 1))
}

// ErrFingerprint says that a text names no content.
var ErrFingerprint = errors.New("no content of requests: it has 16 hexadecimal digits")

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || n == 0 || Fingerprint(n).String() != text {
		return 0, errors.Wrapf(ErrFingerprint, "%q", text)
	}
	return Fingerprint(n), nil
}

// String returns the content as logs write it.
func (c Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(c)) }
