package operate

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
)

// ErrSignedFile means that a file does not hold a signed bundle.
var ErrSignedFile = errors.New(`not a signed bundle; make one with "croftvale bundle sign"`)

// SignedBundle is a packed bundle with its sign-offs. The command "bundle sign"
// writes it to a file.
type SignedBundle struct {
	Digest   bundle.Digest    `json:"digest"`
	Content  []byte           `json:"content"`
	Signoffs []bundle.Signoff `json:"signoffs"`
}

// NewSignedBundle packs a bundle and returns it without sign-offs.
func NewSignedBundle(b bundle.Bundle) SignedBundle {
	digest, content := bundle.Pack(b)
	return SignedBundle{Digest: digest, Content: content}
}

// DecodeSignedBundle decodes a signed bundle and checks that its content has its
// digest. It does not verify the sign-offs.
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

// Bundle unpacks the bundle and checks its digest.
func (s SignedBundle) Bundle() (bundle.Bundle, error) { return bundle.Unpack(s.Content, s.Digest) }

// Encode returns the form that DecodeSignedBundle decodes.
func (s SignedBundle) Encode() []byte {
	out, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic(err) // unreachable: plain strings and bytes always encode
	}
	return append(out, '\n')
}
