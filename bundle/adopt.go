package bundle

import "github.com/croftvale/croftvale/fleet"

// InForce is a bundle with the order that put it in force.
type InForce struct {
	Order   Order
	Bundle  Bundle // as signed
	Content []byte // packed, for passing on
}

// Generation returns the generation in force, 0 before the first.
func (f InForce) Generation() fleet.Generation { return f.Order.Generation }

// Adopter decides which bundle a process has in force. It only ever moves to
// a higher generation whose order and content check out; the zero value,
// given a Verifier, is ready for use.
type Adopter struct {
	Verifier Verifier
	current  InForce
}

// Current returns what is in force.
func (a *Adopter) Current() InForce { return a.current }

// OfferMsg says that a bundle may be had. Order is the encoded order.
type OfferMsg struct {
	Order   []byte
	Content []byte
}

// Adoption says what came of an offer.
type Adoption int

// The outcomes of an offer.
const (
	Adopted  Adoption = iota // it is now in force
	Outdated                 // what is in force is as new or newer
	Refused                  // the error says why
)

// Update takes an offer and says what came of it. A refused or outdated offer
// changes nothing.
func (a *Adopter) Update(m OfferMsg) (Adoption, error) {
	o, err := a.Verifier.Decode(m.Order)
	if err != nil {
		return Refused, err
	}
	if o.Generation <= a.current.Generation() {
		return Outdated, nil
	}
	b, err := Open(m.Content, o.Digest)
	if err != nil {
		return Refused, err
	}
	a.current = InForce{Order: o, Bundle: b, Content: m.Content}
	return Adopted, nil
}
