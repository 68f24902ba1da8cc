package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// Errors of orders. Each message includes a remedy.
var (
	ErrSignature = errors.New("bundle order is not signed by a known operator; add the operator's public key to the settings or roll with a known key")
	ErrSignoffs  = errors.New("bundle has too few sign-offs; have another operator run \"croftvale bundle sign\"")
)

// Signoff is one operator's signed approval of a bundle, which is identified by
// its digest.
type Signoff struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Order makes one bundle active. The bundle pointer on the platform holds the
// current order, and links between processes carry orders. Bundle content, by
// contrast, is stored under its digest and never changes.
type Order struct {
	Generation    fleet.Generation `json:"generation"`
	Digest        Digest           `json:"digest"`
	RollID        string           `json:"roll_id"`
	Operator      string           `json:"operator"`
	CreatedAt     string           `json:"at"`     // RFC 3339; informational
	RecentRollIDs []string         `json:"recent"` // roll IDs of the preceding orders, newest first
	Signoffs      []Signoff        `json:"signoffs"`
	Signature     []byte           `json:"signature"`
}

// maxRecentRolls is the maximum number of roll IDs in Order.RecentRollIDs.
const maxRecentRolls = 32

// NextRecentRollIDs returns the RecentRollIDs of the order that replaces this one.
func (o Order) NextRecentRollIDs() []string {
	if o.RollID == "" {
		return nil
	}
	recent := append([]string{o.RollID}, o.RecentRollIDs...)
	return recent[:min(len(recent), maxRecentRolls)]
}

// Operators maps the names of operators to their public keys.
type Operators map[string]ed25519.PublicKey

// signedPayload returns the bytes that the signature covers. The first line
// differs from that of signoffPayload, so that the signature of a sign-off is
// never valid for an order, or the other way round.
func (o Order) signedPayload() []byte {
	return fmt.Appendf(nil, "croftvale order\n%d\n%s\n%s\n%s\n%s\n%q\n",
		o.Generation, o.Digest, o.RollID, o.Operator, o.CreatedAt, o.RecentRollIDs)
}

func signoffPayload(d Digest) []byte {
	return fmt.Appendf(nil, "croftvale signoff\n%s\n", d)
}

// SignOff returns the sign-off of a digest by an operator.
func SignOff(operator string, key ed25519.PrivateKey, d Digest) Signoff {
	return Signoff{Operator: operator, Signature: ed25519.Sign(key, signoffPayload(d))}
}

// Sign returns the order signed with key, which must be the private key of
// o.Operator.
func (o Order) Sign(key ed25519.PrivateKey) Order {
	o.Signature = ed25519.Sign(key, o.signedPayload())
	return o
}

// Encode returns the JSON that is stored on the platform and sent over links.
func (o Order) Encode() []byte {
	out, err := json.Marshal(o)
	if err != nil {
		panic(err) // unreachable: plain strings and bytes always encode
	}
	return out
}

// Verifier checks the signature and the sign-offs of orders.
type Verifier struct {
	Operators   Operators
	MinSignoffs int // number of operators who must have signed off the digest
}

// Decode decodes an order and verifies it.
func (v Verifier) Decode(data []byte) (Order, error) {
	var o Order
	if err := json.Unmarshal(data, &o); err != nil {
		return Order{}, errors.Mark(errors.Wrap(err, "decode order"), ErrSignature)
	}
	return o, v.Verify(o)
}

// Verify checks the order's signature and that enough operators have signed off
// its digest.
func (v Verifier) Verify(o Order) error {
	key, ok := v.Operators[o.Operator]
	if !ok || !ed25519.Verify(key, o.signedPayload(), o.Signature) {
		return errors.Wrapf(ErrSignature, "generation %d by %q", o.Generation, o.Operator)
	}
	if n := v.countSignoffs(o); n < v.MinSignoffs {
		return errors.Wrapf(ErrSignoffs, "generation %d has %d of %d", o.Generation, n, v.MinSignoffs)
	}
	return nil
}

func (v Verifier) countSignoffs(o Order) int {
	valid := map[string]bool{}
	payload := signoffPayload(o.Digest)
	for _, s := range o.Signoffs {
		key, ok := v.Operators[s.Operator]
		if ok && ed25519.Verify(key, payload, s.Signature) {
			valid[s.Operator] = true
		}
	}
	return len(valid)
}
