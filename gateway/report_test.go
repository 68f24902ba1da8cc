package gateway

import (
	"fmt"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestReportIsSmall has a router tell of 60 teams, most of which ask it for little:
// a team costs some 15 bytes (it was 25), and each rate comes back to within half a
// unit. Found as 0.5 GB of heartbeats between the halls of the large site.
func TestReportIsSmall(t *testing.T) {
	said := direct.Report{Headroom: 1.5, Copies: []direct.Copy{{Part: 1 << 60, Server: 7}}}
	for i := range 60 {
		rate := float32(i*i) * 10
		said.Teams = append(said.Teams, direct.TeamUse{Team: fmt.Sprintf("team%03d", i), Offered: rate, Recent: 2 * rate, Served: rate / 2})
	}
	said.Teams = append(said.Teams, direct.TeamUse{Team: "idle", Offered: 1})
	body, err := encode(heartbeat{Report: packReport(said)})
	require.NoError(t, err)
	require.Less(t, len(body), 60*16)

	var heard heartbeat
	require.NoError(t, decode(body, &heard))
	back := heard.Report.unpack()
	require.InDelta(t, said.Headroom, back.Headroom, 1e-6)
	require.Equal(t, said.Copies, back.Copies)
	rates := make(map[string]direct.TeamUse)
	for _, row := range back.Teams {
		rates[row.Team] = row
	}
	require.NotContains(t, rates, "idle")
	for _, want := range said.Teams {
		got := rates[want.Team]
		require.InDelta(t, want.Offered, got.Offered, rateUnit/2)
		require.InDelta(t, want.Recent, got.Recent, rateUnit/2)
		require.InDelta(t, want.Served, got.Served, rateUnit/2)
	}
}

// TestRatesOutOfRange has no rate below nothing.
func TestRatesOutOfRange(t *testing.T) {
	require.Zero(t, rateUnits(-5))
	require.Zero(t, rateUnits(31))
	require.EqualValues(t, 1, rateUnits(33))
	require.EqualValues(t, 200_000, rateUnits(200_000*rateUnit))
}
