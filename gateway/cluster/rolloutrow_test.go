package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestRolloutDatagram checks that rollout reports survive encoding and decoding, and that the
// evidence of a hundred routes in three halls takes less than a third of a datagram. Cells with
// indices out of range must be skipped.
func TestRolloutDatagram(t *testing.T) {
	sent := rollout.Report{
		Service: "llm", Order: 1 << 63, Routers: 12, MaxStage: rollout.All, MinAppliedStage: rollout.Half, Age: time.Minute, OldRunning: 3, Rejected: true,
		Demand: rollout.Demand{Complete: true, PerSecond: 1200.5, Observed: 2 * time.Second},
	}
	for route := range 100 {
		for hall := range 3 {
			for kind := range 4 {
				sent.Cells = append(sent.Cells, rollout.Cell{
					Route: fmt.Sprint("team-of-long-name/route-", route), Cohort: fmt.Sprint("hall-", hall),
					Target: kind < 2, AfterStart: kind%2 == 0, Good: 60000, Bad: 200,
				})
			}
		}
	}
	list := loadList{From: "10.1.0.33", Kind: loads.Report, HasTeams: true, Rollouts: packRollouts([]rollout.Report{sent}), Extension: loadListExtension{Demands: packDemands([]rollout.Report{sent})}}
	body, err := encodeLoadList(&list)
	require.NoError(t, err)
	require.Less(t, len(body), maxDatagramSize/3)
	received, err := decodeLoadList(body)
	require.NoError(t, err)
	require.Equal(t, []rollout.Report{sent}, unpackRollouts(received.Rollouts, received.Extension.Demands))

	received.Rollouts[0].Cells[0].Route = len(received.Rollouts[0].Routes)
	received.Rollouts[0].Cells[1].Cohort = -1
	require.Len(t, unpackRollouts(received.Rollouts, received.Extension.Demands)[0].Cells, len(sent.Cells)-2)
}
