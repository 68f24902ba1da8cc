package bundle

import (
	"crypto/ed25519"
	"testing"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testKey(b byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = b
	return ed25519.NewKeyFromSeed(seed)
}

// keysOfAnna returns the keys of a fleet whose only operator is anna.
func keysOfAnna(anna ed25519.PrivateKey) map[string]ed25519.PrivateKey {
	return map[string]ed25519.PrivateKey{"anna": anna}
}

func newOperators(keys map[string]ed25519.PrivateKey) Operators {
	ops := Operators{}
	for n, k := range keys {
		ops[n] = k.Public().(ed25519.PublicKey)
	}
	return ops
}

// TestVerifyRefuses checks that Verify rejects changed orders, unknown operators
// and orders without enough valid sign-offs.
func TestVerifyRefuses(t *testing.T) {
	anna, piet, eve := testKey(1), testKey(2), testKey(3)
	v := Verifier{Operators: newOperators(map[string]ed25519.PrivateKey{"anna": anna, "piet": piet}), MinSignoffs: 2}
	digest := Digest("d1")
	good := Order{
		Generation: 3, Digest: digest, RollID: "r", Operator: "anna",
		Signoffs: []Signoff{SignOff("anna", anna, digest), SignOff("piet", piet, digest)},
	}.Sign(anna)
	require.NoError(t, v.Verify(good))

	later := good
	later.Generation++
	require.ErrorIs(t, v.Verify(later), ErrSignature, "the signature covers the generation")
	other := good
	other.Digest = "d2"
	require.ErrorIs(t, v.Verify(other), ErrSignature)
	unknownOperator := Order{Generation: 3, Digest: digest, Operator: "eve", Signoffs: good.Signoffs}.Sign(eve)
	require.ErrorIs(t, v.Verify(unknownOperator), ErrSignature)
	duplicated := good
	duplicated.Signoffs = []Signoff{good.Signoffs[0], good.Signoffs[0]}
	require.ErrorIs(t, v.Verify(duplicated), ErrSignoffs, "two sign-offs of one operator count once")
	swapped := good
	swapped.Signoffs = []Signoff{good.Signoffs[0], {Operator: "piet", Signature: good.Signature}}
	require.ErrorIs(t, v.Verify(swapped), ErrSignoffs, "the signature of an order is not valid as a sign-off")
}

// TestAdopterNeverGoesBack offers bundles repeatedly and in random order, some
// of them forged or truncated. It checks that the active generation only
// increases and always has a valid signature.
func TestAdopterNeverGoesBack(t *testing.T) {
	anna, eve := testKey(1), testKey(3)
	v := Verifier{Operators: newOperators(map[string]ed25519.PrivateKey{"anna": anna})}
	b, err := Parse("f", []byte(goodSource))
	require.NoError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		a := Adopter{Verifier: v}
		highest := Order{}
		for range rapid.IntRange(1, 30).Draw(rt, "offers") {
			next := b
			next.Teams = []Team{{Name: "zurich", Share: float64(rapid.IntRange(1, 3).Draw(rt, "share"))}}
			digest, content := Pack(next)
			key, operator := anna, "anna"
			forged := rapid.IntRange(0, 4).Draw(rt, "forged") == 0
			if forged {
				key = eve
			}
			o := Order{Generation: drawGeneration(rt), Digest: digest, Operator: operator}.Sign(key)
			truncated := rapid.IntRange(0, 4).Draw(rt, "truncated") == 0
			if truncated {
				content = content[:len(content)-3]
			}
			outcome, err := a.Update(OfferMsg{Order: o.Encode(), Content: content})
			newer := o.Generation > highest.Generation
			switch {
			case forged || (truncated && newer):
				if outcome != Refused || err == nil {
					rt.Fatalf("adopted a forged or truncated offer: %v", outcome)
				}
			case newer:
				if outcome != Adopted {
					rt.Fatalf("did not adopt generation %d: %v %v", o.Generation, outcome, err)
				}
				highest = o
			default:
				if outcome != Outdated {
					rt.Fatalf("offer of the outdated generation %d: got outcome %v", o.Generation, outcome)
				}
			}
			if a.Current().Generation() != highest.Generation || a.Current().Order.Digest != highest.Digest {
				rt.Fatalf("active generation %d, want %d", a.Current().Generation(), highest.Generation)
			}
		}
	})
}

func drawGeneration(rt *rapid.T) fleet.Generation {
	return fleet.Generation(rapid.IntRange(1, 12).Draw(rt, "generation"))
}
