package gateway

import "github.com/croftvale/croftvale/rollout"

// RolloutState is the state of the versions of one service and of its rollout, with names
// in place of enum values.
type RolloutState struct {
	rollout.Snapshot
	Stage, Verdict, WaitsFor string
}

func rolloutStates(snapshots []rollout.Snapshot) []RolloutState {
	out := make([]RolloutState, 0, len(snapshots))
	for _, s := range snapshots {
		out = append(out, RolloutState{
			Snapshot: s, Stage: s.Stage.String(), Verdict: s.Verdict.String(), WaitsFor: s.WaitsFor.String(),
		})
	}
	return out
}
