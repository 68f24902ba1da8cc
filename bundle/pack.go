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

// maxUnpackedBytes bounds what Open will inflate, in bytes.
const maxUnpackedBytes = 64 << 20

// ErrDigest means that content is not what its order names.
var ErrDigest = errors.New("bundle content does not match its digest; fetch it again, and roll the bundle again if that fails")

// Digest is the SHA-256 of a bundle's canonical form, in hex.
type Digest string

// Canonical returns the bytes that a digest and signatures cover: JSON with
// the lists sorted by name, so that order in the source means nothing.
func Canonical(b Bundle) []byte {
	b.Teams = sortedByName(b.Teams, func(t Team) fleet.Team { return t.Name })
	b.Works = sortedByName(b.Works, func(w Work) fleet.Work { return w.Name })
	b.Servers = sortedByName(b.Servers, func(s Server) fleet.Name { return s.Name })
	out, err := json.Marshal(b)
	if err != nil {
		// Plain structs of strings and numbers always encode; NaN shares are
		// refused by check.
		panic(err)
	}
	return out
}

// sortedByName returns a copy of a list by name, and nil for an empty one: the two
// would be spelt differently.
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

// Pack returns the digest and the packed content of a bundle, as the platform
// holds it and links carry it.
func Pack(b Bundle) (Digest, []byte) {
	canonical := Canonical(b)
	return digestBytes(canonical), compress(canonical)
}

func compress(canonical []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(canonical) // here and below: a bytes.Buffer never fails
	_ = w.Close()
	return buf.Bytes()
}

// Unpack unpacks content and refuses it unless its digest is want.
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
