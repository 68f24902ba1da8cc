package bundle

import (
	"fmt"
	"testing"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPatchMakesTheSameBundle checks for random pairs of bundles that the patch
// between them, encoded and decoded, turns the first into a bundle with the
// digest of the second.
func TestPatchMakesTheSameBundle(t *testing.T) {
	drawBundle := func(rt *rapid.T, label string) Bundle {
		b := newTestBundle(rapid.IntRange(0, 6).Draw(rt, label+" teams"), rapid.IntRange(0, 6).Draw(rt, label+" servers"))
		for i := range b.Teams {
			b.Teams[i].Share = float64(rapid.IntRange(1, 3).Draw(rt, label+" share"))
		}
		for i := range b.Servers {
			b.Servers[i].Leaving = rapid.Bool().Draw(rt, label+" leaving")
		}
		if rapid.Bool().Draw(rt, label+" policy") {
			b.Policy.Prefer = PreferBytes
			b.Limits.MaxWaiting = 9
		}
		return b
	}
	rapid.Check(t, func(rt *rapid.T) {
		from, to := drawBundle(rt, "from"), drawBundle(rt, "to")
		p, err := DecodePatch(NewPatch(from, to).Encode())
		if err != nil {
			rt.Fatal(err)
		}
		if got := DigestOf(p.Apply(from)); got != DigestOf(to) {
			rt.Fatalf("patched bundle has digest %s, want %s", got, DigestOf(to))
		}
	})
}

// TestAdopterTakesPatches checks that a patch is adopted only if it was made for
// the active generation and results in the ordered digest.
func TestAdopterTakesPatches(t *testing.T) {
	anna := testKey(1)
	a := Adopter{Verifier: Verifier{Operators: newOperators(keysOfAnna(anna))}}
	first, second := newTestBundle(3, 3), newTestBundle(4, 2)
	offer := func(g fleet.Generation, b Bundle, base fleet.Generation, from Bundle) OfferMsg {
		digest, content := Pack(b)
		o := Order{Generation: g, Digest: digest, Operator: "anna"}.Sign(anna)
		if base > 0 {
			content = NewPatch(from, b).Encode()
		}
		return OfferMsg{Order: o.Encode(), Content: content, Base: base}
	}
	outcome, err := a.Update(offer(1, first, 0, Bundle{}))
	require.NoError(t, err)
	require.Equal(t, Adopted, outcome)
	outcome, err = a.Update(offer(3, second, 2, first))
	require.ErrorIs(t, err, ErrPatch, "the patch was made for another generation")
	require.Equal(t, Refused, outcome)
	outcome, err = a.Update(offer(3, second, 1, Bundle{}))
	require.Equal(t, Refused, outcome, "the patch was made from another bundle: %v", err)
	require.EqualValues(t, 1, a.Current().Generation())
	outcome, err = a.Update(offer(3, second, 1, first))
	require.NoError(t, err)
	require.Equal(t, Adopted, outcome)
	require.Equal(t, DigestOf(second), DigestOf(a.Current().Bundle))
	_, err = Unpack(a.Current().Packed(), DigestOf(second))
	require.NoError(t, err, "a patched bundle can be forwarded whole")
}

// BenchmarkPatch measures the cost to a process of a change to one team, and the
// bytes that the change takes on a link.
func BenchmarkPatch(b *testing.B) {
	for _, servers := range []int{15, 1000, 10000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			from := newTestBundle(540, servers)
			to := newTestBundle(540, servers)
			to.Teams[7].Share = 9
			anna := testKey(1)
			v := Verifier{Operators: newOperators(keysOfAnna(anna))}
			digest, content := Pack(from)
			first := OfferMsg{Order: Order{Generation: 1, Digest: digest, Operator: "anna"}.Sign(anna).Encode(), Content: content}
			patch := NewPatch(from, to).Encode()
			next := OfferMsg{Order: Order{Generation: 2, Digest: DigestOf(to), Operator: "anna"}.Sign(anna).Encode(), Content: patch, Base: 1}
			a := Adopter{Verifier: v}
			if outcome, err := a.Update(first); outcome != Adopted {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				adopter := a
				if outcome, err := adopter.Update(next); outcome != Adopted {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(patch)+len(next.Order)), "link-bytes")
		})
	}
}
