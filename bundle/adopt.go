package bundle

import (
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// Active is a bundle together with the signed order that made it the active
// configuration.
type Active struct {
	Order   Order
	Bundle  Bundle // as signed, without defaults
	Content []byte // compressed, for forwarding to peers; nil if the bundle was built by a patch
}

// Packed returns the compressed bundle. If the bundle was built by a patch, each
// call compresses it again, because the result is rarely needed; callers that
// need it repeatedly should store it in Content.
func (a Active) Packed() []byte {
	if a.Content != nil {
		return a.Content
	}
	return compress(Canonical(a.Bundle))
}

// Generation returns the active generation, or 0 before the first one.
func (a Active) Generation() fleet.Generation { return a.Order.Generation }

// Adopter decides which bundle is active in a process. It only moves to a higher
// generation, and only if the order and the content are valid. An Adopter with
// only its Verifier set is ready to use.
type Adopter struct {
	Verifier Verifier
	current  Active
}

// Current returns the active bundle and its order.
func (a *Adopter) Current() Active { return a.current }

// OfferMsg offers a new bundle. Order is the encoded order. Content is the
// compressed bundle or, if Base is not zero, an encoded patch from generation
// Base.
type OfferMsg struct {
	Order   []byte
	Content []byte
	Base    fleet.Generation
}

// Adoption is the outcome of an offer.
type Adoption int

// The outcomes of an offer.
const (
	Adopted  Adoption = iota // the offered bundle is now active
	Outdated                 // the active generation is the same or newer
	Refused                  // the offer is invalid; the error gives the reason
)

// Update handles an offer and returns its outcome. A refused or outdated offer
// leaves the active bundle unchanged.
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

// decodeOffer returns the bundle that an offer carries. It fails unless the
// bundle has the digest that the order names.
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
