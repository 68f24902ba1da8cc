package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestRolloutDatagram has reports of roll-outs come back as they were, and the evidence of
// a hundred routes in three halls fit into a datagram several times. Places that name
// nothing are passed over.
func TestRolloutDatagram(t *testing.T) {
	said := rollout.Report{
		Service: "llm", Order: 1 << 63, Routers: 12, MaxStage: rollout.All, MinAppliedStage: rollout.Half, Age: time.Minute, OldRunning: 3, Rejected: true,
		Demand: rollout.Demand{Complete: true, PerSecond: 1200.5, Observed: 2 * time.Second},
	}
	for route := range 100 {
		for hall := range 3 {
			for kind := range 4 {
				said.Cells = append(said.Cells, rollout.Cell{
					Route: fmt.Sprint("team-of-long-name/route-", route), Cohort: fmt.Sprint("hall-", hall),
					Target: kind < 2, AfterStart: kind%2 == 0, Good: 60000, Bad: 200,
				})
			}
		}
	}
	list := loadList{From: "10.1.0.33", Kind: loads.Report, HasTeams: true, Rollouts: packRollouts([]rollout.Report{said}), Extension: loadListExtension{Demands: packDemands([]rollout.Report{said})}}
	body, err := encodeLoadList(&list)
	require.NoError(t, err)
	require.Less(t, len(body), datagram/3)
	heard, err := decodeLoadList(body)
	require.NoError(t, err)
	require.Equal(t, []rollout.Report{said}, unpackRollouts(heard.Rollouts, heard.Extension.Demands))

	heard.Rollouts[0].Cells[0].Route = len(heard.Rollouts[0].Routes)
	heard.Rollouts[0].Cells[1].Cohort = -1
	require.Len(t, unpackRollouts(heard.Rollouts, heard.Extension.Demands)[0].Cells, len(said.Cells)-2)
}
