package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// Errors of orders; each says what to do.
var (
	ErrSignature = errors.New("bundle order is not signed by a known operator; add the operator's public key to the settings or roll with a known key")
	ErrSignoffs  = errors.New("bundle has too few sign-offs; have another operator run \"croftvale bundle sign\"")
)

// Signoff is one operator's word that a digest may go in force.
type Signoff struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Order puts one bundle in force. It is the only object that moves: the
// platform's pointer is an order, and links carry orders.
type Order struct {
	Generation    fleet.Generation `json:"generation"`
	Digest        Digest           `json:"digest"`
	RollID        string           `json:"roll_id"`
	Operator      string           `json:"operator"`
	CreatedAt     string           `json:"at"`     // RFC 3339, for people
	RecentRollIDs []string         `json:"recent"` // roll ids of the orders before this one, the newest first
	Signoffs      []Signoff        `json:"signoffs"`
	Signature     []byte           `json:"signature"`
}

// maxRecentRolls is how many roll ids an order remembers.
const maxRecentRolls = 32

// NextRecentRollIDs returns what the order that replaces this one remembers.
func (o Order) NextRecentRollIDs() []string {
	if o.RollID == "" {
		return nil
	}
	recent := append([]string{o.RollID}, o.RecentRollIDs...)
	return recent[:min(len(recent), maxRecentRolls)]
}

// Operators maps the names of operators to their public keys.
type Operators map[string]ed25519.PublicKey

// signedPayload returns what a signature covers; the first word keeps a sign-off
// from passing as an order.
func (o Order) signedPayload() []byte {
	return fmt.Appendf(nil, "croftvale order\n%d\n%s\n%s\n%s\n%s\n%q\n",
		o.Generation, o.Digest, o.RollID, o.Operator, o.CreatedAt, o.RecentRollIDs)
}

func signoffPayload(d Digest) []byte {
	return fmt.Appendf(nil, "croftvale signoff\n%s\n", d)
}

// SignOff signs a digest off in the name of an operator.
func SignOff(operator string, key ed25519.PrivateKey, d Digest) Signoff {
	return Signoff{Operator: operator, Signature: ed25519.Sign(key, signoffPayload(d))}
}

// Sign returns the order signed by the operator whom it names.
func (o Order) Sign(key ed25519.PrivateKey) Order {
	o.Signature = ed25519.Sign(key, o.signedPayload())
	return o
}

// Encode returns the order as the platform and links carry it.
func (o Order) Encode() []byte {
	out, err := json.Marshal(o)
	if err != nil {
		panic(err) // plain strings and bytes always encode
	}
	return out
}

// Verifier tells whether orders may be obeyed.
type Verifier struct {
	Operators   Operators
	MinSignoffs int // operators who must have signed the digest off
}

// Decode reads an order and verifies it.
func (v Verifier) Decode(data []byte) (Order, error) {
	var o Order
	if err := json.Unmarshal(data, &o); err != nil {
		return Order{}, errors.Mark(errors.Wrap(err, "decode order"), ErrSignature)
	}
	return o, v.Verify(o)
}

// Verify checks the order's own signature and counts its valid sign-offs.
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
	text := signoffPayload(o.Digest)
	for _, s := range o.Signoffs {
		key, ok := v.Operators[s.Operator]
		if ok && ed25519.Verify(key, text, s.Signature) {
			valid[s.Operator] = true
		}
	}
	return len(valid)
}
