package capacity

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/tomlfile"
	"github.com/croftvale/croftvale/wire"
)

// fullHub returns a hub with one hall's agents, settled.
func fullHub(agents int) (*ledger.Hub, []fleet.ServiceRow) {
	h := ledger.NewHub("r", "a")
	rows := make([]fleet.ServiceRow, int(TwoYears.Teams))
	for i := range rows {
		rows[i] = fleet.ServiceRow{Team: teamName(i), Service: 1}
	}
	for a := range agents {
		src := ledger.Source{Agent: agentName(a), Incarnation: 1}
		h.Update(ledger.AgentUpMsg{Now: 1, Source: src, Hall: "a"})
		h.Update(ledger.ServiceMsg{Now: 1, Source: src, Hall: "a", Rows: rows})
	}
	h.Update(ledger.TickMsg{Now: time.Minute})
	return h, rows
}

func (s *Slopes) measureHub() {
	agents := int(TwoYears.hallAgents())
	h, rows := fullHub(agents)
	backlogged := rows[:int(TwoYears.Backlogged)]
	now := time.Minute
	s.HubRowNS = perOp(func() {
		now += time.Second
		for i := range backlogged {
			backlogged[i].Service++
		}
		for a := range agents {
			h.Update(ledger.ServiceMsg{Now: now, Source: ledger.Source{Agent: agentName(a), Incarnation: 1}, Hall: "a", Rows: backlogged})
		}
		h.Update(ledger.TickMsg{Now: now})
	}) / float64(agents*len(backlogged))
}

// fullBundle returns a bundle of the two-year size.
func fullBundle() bundle.Bundle {
	b := bundle.Bundle{Works: []bundle.Work{{Name: "report", Kind: bundle.KindModel, Path: "/v1/completions"}}}
	for i := range int(TwoYears.Teams) {
		k := once.NewKey(teamName(i), "report", "key")
		hash := fmt.Sprintf("%s%x%x", bundle.KeyHashPrefix, k.Digest, k.Digest)
		b.Teams = append(b.Teams, bundle.Team{Name: teamName(i), Share: float64(1 + i%5), Keys: []string{hash}})
	}
	for i := range int(TwoYears.Agents) {
		ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		at := func(port uint16) tomlfile.Address {
			return tomlfile.Address{AddrPort: netip.AddrPortFrom(ip, port)}
		}
		b.Servers = append(b.Servers, bundle.Server{
			Name: agentName(i), Hall: fleet.Hall(fmt.Sprintf("hall-%02d", i%int(TwoYears.Halls))),
			Agent: at(7000), Serve: at(7001), Address: at(8000), Slots: 8, Works: []fleet.Work{"report"},
		})
	}
	return b
}

func (s *Slopes) measureBundle() {
	anna := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	v := bundle.Verifier{Operators: bundle.Operators{"anna": anna.Public().(ed25519.PublicKey)}}
	from, to := fullBundle(), fullBundle()
	to.Teams[7].Share = 9
	digest, content := bundle.Pack(from)
	s.BundleBytes = float64(len(content))
	first := bundle.Order{Generation: 1, Digest: digest, Operator: "anna"}.Sign(anna)
	next := bundle.Order{Generation: 2, Digest: bundle.DigestOf(to), Operator: "anna"}.Sign(anna).Encode()
	patch := bundle.NewPatch(from, to).Encode()
	s.PatchBytes = frame(wire.BundleData{Order: next, Base: 1, Content: patch})
	a := bundle.Adopter{Verifier: v}
	if _, err := a.Update(bundle.OfferMsg{Order: first.Encode(), Content: content}); err != nil {
		panic(err)
	}
	s.PatchNS = perOp(func() {
		again := a
		if _, err := again.Update(bundle.OfferMsg{Order: next, Content: patch, Base: 1}); err != nil {
			panic(err)
		}
	})
}
