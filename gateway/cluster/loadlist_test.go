package cluster

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestListsComeAsSent checks that all fields of a list survive encoding and decoding.
func TestListsComeAsSent(t *testing.T) {
	cmd := loads.SendCmd{
		To: "10.1.0.7", Kind: loads.RegionSum, Region: "north", Base: 1 << 60, Loads: []loads.Load{{Server: 1, Running: 2, Pending: 3}},
		HasTeams: true, Teams: []loads.TeamUse{{Team: "red", Offered: rateUnit, Recent: 2 * rateUnit, Served: rateUnit}},
		Rollouts: []rollout.Report{{Service: "llm", Order: 7, Routers: 2}}, Copies: []loads.Copy{{Part: 1 << 60, Server: 7}},
	}
	list := packList(cmd)
	list.From, list.Hall, list.Number = "10.1.0.33", "a", 9
	body, err := encode(&list)
	require.NoError(t, err)
	var got loadList
	require.NoError(t, decode(body, &got))
	require.Equal(t, loads.ListMsg{
		Now: time.Second, From: "10.1.0.33", Hall: "a", Number: 9, Kind: cmd.Kind, Region: cmd.Region, Base: cmd.Base, Loads: cmd.Loads,
		HasTeams: true, Teams: cmd.Teams, Rollouts: cmd.Rollouts, Copies: cmd.Copies,
	}, got.unpack(time.Second))
}
