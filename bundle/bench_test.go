package bundle

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"testing"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/tomlfile"
)

// newTestBundle returns a bundle with the given numbers of teams and servers,
// whose names have a realistic length.
func newTestBundle(teams, servers int) Bundle {
	b := Bundle{Works: []Work{{Name: "report", Kind: KindModel, Path: "/v1/completions"}}}
	for i := range teams {
		hash := digestBytes(fmt.Append(nil, i))
		b.Teams = append(b.Teams, Team{
			Name: fleet.Team(fmt.Sprintf("team-%04d", i)), Share: float64(1 + i%5), Keys: []string{KeyHashPrefix + string(hash)},
		})
	}
	for i := range servers {
		ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		at := func(port uint16) tomlfile.Address {
			return tomlfile.Address{AddrPort: netip.AddrPortFrom(ip, port)}
		}
		b.Servers = append(b.Servers, Server{
			Name: fleet.Name(fmt.Sprintf("engine-%05d", i)), Hall: fleet.Hall(fmt.Sprintf("hall-%02d", i%13)),
			Agent: at(7000), Serve: at(7001), Address: at(8000), Slots: 8, Works: []fleet.Work{"report"},
		})
	}
	return b
}

// BenchmarkAdopt measures the cost of a new bundle to each process: verifying,
// decompressing and decoding it. It reports the compressed size.
func BenchmarkAdopt(b *testing.B) {
	for _, size := range []struct{ teams, servers int }{{10, 15}, {540, 1000}, {540, 10000}} {
		b.Run(fmt.Sprintf("teams=%d/servers=%d", size.teams, size.servers), func(b *testing.B) {
			key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
			digest, content := Pack(newTestBundle(size.teams, size.servers))
			order := Order{Generation: 1, Digest: digest, Operator: "anna"}.Sign(key).Encode()
			v := Verifier{Operators: Operators{"anna": key.Public().(ed25519.PublicKey)}}
			b.ReportAllocs()
			for b.Loop() {
				a := Adopter{Verifier: v}
				if outcome, err := a.Update(OfferMsg{Order: order, Content: content}); outcome != Adopted {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(content)), "packed-bytes")
		})
	}
}
