package gateway

import "github.com/croftvale/croftvale/rollout"

// RolloutState is what a router shows of the versions of one service and of its roll-out,
// with words in place of numbers.
type RolloutState struct {
	rollout.Standing
	Stage, Verdict, WaitsFor string
}

func rolloutStates(standings []rollout.Standing) []RolloutState {
	out := make([]RolloutState, 0, len(standings))
	for _, s := range standings {
		out = append(out, RolloutState{
			Standing: s, Stage: s.Stage.String(), Verdict: s.Verdict.String(), WaitsFor: s.WaitsFor.String(),
		})
	}
	return out
}
