package bundle

import (
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// Active is a bundle with the order that put it in force.
type Active struct {
	Order   Order
	Bundle  Bundle // as signed
	Content []byte // packed, for passing on; nil where it was made by a patch
}

// Packed returns the packed bundle. After a patch it is worked out anew at
// each call, since hardly anyone asks for it: keep it if it is asked for.
func (f Active) Packed() []byte {
	if f.Content != nil {
		return f.Content
	}
	return compress(Canonical(f.Bundle))
}

// Generation returns the generation in force, 0 before the first.
func (f Active) Generation() fleet.Generation { return f.Order.Generation }

// Adopter decides which bundle a process has in force. It only ever moves to
// a higher generation whose order and content check out; the zero value,
// given a Verifier, is ready for use.
type Adopter struct {
	Verifier Verifier
	current  Active
}

// Current returns what is in force.
func (a *Adopter) Current() Active { return a.current }

// OfferMsg says that a bundle may be had. Order is the encoded order; Content
// is the packed bundle or, where Base is not zero, a patch on that generation.
type OfferMsg struct {
	Order   []byte
	Content []byte
	Base    fleet.Generation
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
	next, err := a.decodeOffer(o, m)
	if err != nil {
		return Refused, err
	}
	a.current = next
	return Adopted, nil
}

// decodeOffer takes what an offer brings, if it has the digest that was ordered.
func (a *Adopter) decodeOffer(o Order, m OfferMsg) (Active, error) {
	if m.Base == 0 {
		b, err := Unpack(m.Content, o.Digest)
		return Active{Order: o, Bundle: b, Content: m.Content}, err
	}
	if m.Base != a.current.Generation() {
		return Active{}, errors.Wrapf(ErrPatch, "made for generation %d", m.Base)
	}
	p, err := DecodePatch(m.Content)
	if err != nil {
		return Active{}, errors.Mark(err, ErrPatch)
	}
	b := p.Apply(a.current.Bundle)
	if DigestOf(b) != o.Digest {
		return Active{}, ErrPatch
	}
	return Active{Order: o, Bundle: b}, nil
}
