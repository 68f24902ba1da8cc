package operate

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
)

// ErrSignedFile means that a signed bundle file can't be read.
var ErrSignedFile = errors.New(`not a signed bundle; make one with "croftvale bundle sign"`)

// SignedBundle is a bundle with its sign-offs, as "bundle sign" writes it to a file.
type SignedBundle struct {
	Digest   bundle.Digest    `json:"digest"`
	Content  []byte           `json:"content"`
	Signoffs []bundle.Signoff `json:"signoffs"`
}

// NewSignedBundle packs a bundle that nobody has signed off yet.
func NewSignedBundle(b bundle.Bundle) SignedBundle {
	digest, content := bundle.Pack(b)
	return SignedBundle{Digest: digest, Content: content}
}

// DecodeSignedBundle reads a signed bundle and checks that its content is what its
// digest says.
func DecodeSignedBundle(data []byte) (SignedBundle, error) {
	var s SignedBundle
	if err := json.Unmarshal(data, &s); err != nil {
		return SignedBundle{}, errors.Mark(errors.Wrap(err, "read signed bundle"), ErrSignedFile)
	}
	if _, err := s.Bundle(); err != nil {
		return SignedBundle{}, err
	}
	return s, nil
}

// Bundle returns the bundle inside.
func (s SignedBundle) Bundle() (bundle.Bundle, error) { return bundle.Unpack(s.Content, s.Digest) }

// Encode returns the form that ReadSigned reads.
func (s SignedBundle) Encode() []byte {
	out, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic(err) // plain strings and bytes always encode
	}
	return append(out, '\n')
}
