package bundle

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// maxUnpackedBytes is the maximum size of a decompressed bundle, in bytes.
const maxUnpackedBytes = 64 << 20

// ErrDigest means that the content does not have the digest that its order names.
var ErrDigest = errors.New("bundle content does not match its digest; fetch it again, and roll the bundle again if that fails")

// Digest is the SHA-256 of a bundle's canonical form, in hex.
type Digest string

// Canonical returns the canonical form of a bundle, which its digest covers: JSON
// with the lists sorted by name, so that their order in the source has no effect.
func Canonical(b Bundle) []byte {
	b.Teams = sortedByName(b.Teams, func(t Team) fleet.Team { return t.Name })
	b.Works = sortedByName(b.Works, func(w Work) fleet.Work { return w.Name })
	b.Servers = sortedByName(b.Servers, func(s Server) fleet.Name { return s.Name })
	out, err := json.Marshal(b)
	if err != nil {
		// Unreachable: plain structs of strings and numbers always encode, and
		// check rejects NaN shares.
		panic(err)
	}
	return out
}

// sortedByName returns a copy of a list sorted by name, and nil for an empty list,
// because JSON encodes nil and empty slices differently.
func sortedByName[E any, N cmp.Ordered](list []E, name func(E) N) []E {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.SortFunc(out, func(x, y E) int { return cmp.Compare(name(x), name(y)) })
	return out
}

// DigestOf returns the digest of a bundle.
func DigestOf(b Bundle) Digest { return digestBytes(Canonical(b)) }

func digestBytes(canonical []byte) Digest {
	sum := sha256.Sum256(canonical)
	return Digest(hex.EncodeToString(sum[:]))
}

// Pack returns the digest and the compressed content of a bundle. The content is
// stored on the platform and sent over links.
func Pack(b Bundle) (Digest, []byte) {
	canonical := Canonical(b)
	return digestBytes(canonical), compress(canonical)
}

func compress(canonical []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(canonical) // here and below: writes to a bytes.Buffer never fail
	_ = w.Close()
	return buf.Bytes()
}

// Unpack decompresses and decodes the content of a bundle. It returns ErrDigest
// unless the digest of the content is want.
func Unpack(content []byte, want Digest) (Bundle, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return Bundle{}, errors.Mark(errors.Wrap(err, "unpack bundle"), ErrDigest)
	}
	canonical, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return Bundle{}, errors.Mark(errors.Wrap(err, "unpack bundle"), ErrDigest)
	}
	if digestBytes(canonical) != want {
		return Bundle{}, ErrDigest
	}
	var b Bundle
	if err := json.Unmarshal(canonical, &b); err != nil {
		return Bundle{}, errors.Wrap(err, "decode bundle")
	}
	return b, nil
}
