package operate

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
)

// ErrSignedFile means that a signed bundle file can't be read.
var ErrSignedFile = errors.New(`not a signed bundle; make one with "croftvale bundle sign"`)

// Signed is a bundle with its sign-offs, as "bundle sign" writes it to a file.
type Signed struct {
	Digest   bundle.Digest    `json:"digest"`
	Content  []byte           `json:"content"`
	Signoffs []bundle.Signoff `json:"signoffs"`
}

// NewSigned packs a bundle that nobody has signed off yet.
func NewSigned(b bundle.Bundle) Signed {
	digest, content := bundle.Seal(b)
	return Signed{Digest: digest, Content: content}
}

// ReadSigned reads a signed bundle and checks that its content is what its
// digest says.
func ReadSigned(data []byte) (Signed, error) {
	var s Signed
	if err := json.Unmarshal(data, &s); err != nil {
		return Signed{}, errors.Mark(errors.Wrap(err, "read signed bundle"), ErrSignedFile)
	}
	if _, err := s.Bundle(); err != nil {
		return Signed{}, err
	}
	return s, nil
}

// Bundle returns the bundle inside.
func (s Signed) Bundle() (bundle.Bundle, error) { return bundle.Open(s.Content, s.Digest) }

// Encode returns the form that ReadSigned reads.
func (s Signed) Encode() []byte {
	out, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic(err) // plain strings and bytes always encode
	}
	return append(out, '\n')
}
