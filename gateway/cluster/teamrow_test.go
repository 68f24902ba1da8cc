package cluster

import (
	"fmt"
	"testing"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestTeamsAreSmall encodes the usage of 60 teams, most of it low, in about 15 bytes per team,
// because bytes between halls are billed. Each rate must be restored to within half a unit.
func TestTeamsAreSmall(t *testing.T) {
	var sent []loads.TeamUse
	for i := range 60 {
		rate := float32(i*i) * 10
		sent = append(sent, loads.TeamUse{Team: fmt.Sprintf("team%03d", i), Offered: rate, Recent: 2 * rate, Served: rate / 2})
	}
	sent = append(sent, loads.TeamUse{Team: "idle", Offered: 1})
	body, err := encode(loadList{Teams: packTeams(sent)})
	require.NoError(t, err)
	require.Less(t, len(body), 60*16)

	var received loadList
	require.NoError(t, decode(body, &received))
	rates := make(map[string]loads.TeamUse)
	for _, row := range unpackTeams(received.Teams) {
		rates[row.Team] = row
	}
	require.NotContains(t, rates, "idle")
	for _, want := range sent {
		got := rates[want.Team]
		require.InDelta(t, want.Offered, got.Offered, rateUnit/2)
		require.InDelta(t, want.Recent, got.Recent, rateUnit/2)
		require.InDelta(t, want.Served, got.Served, rateUnit/2)
	}
}

// TestHeartbeatIsSmall checks that a heartbeat takes less than 100 bytes, however many teams there
// are: it is sent to 24 other routers four times a second.
func TestHeartbeatIsSmall(t *testing.T) {
	body, err := encode(heartbeat{
		Address: "10.128.14.133", Hall: "lausanne-a", Power: 0.144, Life: 1 << 60, Seq: 1 << 20,
		Knows: feed.Revisions{1 << 20, 1 << 20, 1 << 20}, Headroom: 1.5,
	})
	require.NoError(t, err)
	require.Less(t, len(body), 100)
}

// TestRatesOutOfRange checks that negative rates are encoded as 0.
func TestRatesOutOfRange(t *testing.T) {
	require.Zero(t, rateUnits(-5))
	require.Zero(t, rateUnits(31))
	require.EqualValues(t, 1, rateUnits(33))
	require.EqualValues(t, 200_000, rateUnits(200_000*rateUnit))
}
