// Command sign takes a bundle from its source to a signed order, and shows that
// a process adopts it once and never goes back.
package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"log"

	"github.com/croftvale/croftvale/bundle"
)

const source = `
[[teams]]
name = "zurich"
share = 2.0
[[works]]
name = "report"
kind = "model"
path = "/v1/completions"
`

func main() {
	b, err := bundle.Parse("fleet.toml", []byte(source))
	if err != nil {
		log.Fatal(err)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		log.Fatal(err)
	}
	digest, content := bundle.Pack(b)
	order := bundle.Order{
		Generation: 1,
		Digest:     digest,
		Operator:   "anna",
		Signoffs:   []bundle.Signoff{bundle.SignOff("anna", private, digest)},
	}.Sign(private)

	a := bundle.Adopter{Verifier: bundle.Verifier{Operators: bundle.Operators{"anna": public}, MinSignoffs: 1}}
	offer := bundle.OfferMsg{Order: order.Encode(), Content: content}
	for range 2 {
		what, err := a.Update(offer)
		fmt.Println("adopted:", what == bundle.Adopted, "generation:", a.Current().Generation(), "error:", err)
	}
	order.Generation = 2 // without a new signature
	_, err = a.Update(bundle.OfferMsg{Order: order.Encode(), Content: content})
	fmt.Println("forged:", err)
}
