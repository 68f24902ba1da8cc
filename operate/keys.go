package operate

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
)

// ErrKeyFile means that the text is not a valid private key.
var ErrKeyFile = errors.New(`not a private key; make one with "croftvale keys new"`)

// NewKey generates an operator's key pair and returns both keys in base64. The
// private key is encoded as its seed.
func NewKey() (private, public string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "make key")
	}
	enc := base64.StdEncoding
	return enc.EncodeToString(priv.Seed()), enc.EncodeToString(pub), nil
}

// ReadKey reads a private key from a file that holds the text from NewKey.
func ReadKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read key %s", path)
	}
	return ParseKey(strings.TrimSpace(string(data)))
}

// ParseKey decodes a private key that NewKey returned.
func ParseKey(text string) (ed25519.PrivateKey, error) {
	seed, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, ErrKeyFile
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// NewTeamKey generates a team's bearer key and its hash for the bundle.
func NewTeamKey() (key, hash string) {
	key = "cv-" + rand.Text()
	return key, HashTeamKey(key)
}

// HashTeamKey returns the hash of a bearer key in the form used in bundles.
func HashTeamKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return bundle.KeyHashPrefix + hex.EncodeToString(sum[:])
}
