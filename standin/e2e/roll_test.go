package e2e

import (
	"context"
	"slices"
	"testing"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/standin/caller"
	"github.com/stretchr/testify/require"
)

// rollAndWait rolls a bundle and waits until every process has it in force.
func (s *small) rollAndWait(b bundle.Bundle) bundle.Order {
	s.t.Helper()
	order, err := s.lab.Roll(context.Background(), b)
	require.NoError(s.t, err)
	require.Eventually(s.t, func() bool { return s.everywhere(order.Generation) }, patience, step)
	return order
}

func (s *small) everywhere(g fleet.Generation) bool {
	for _, p := range s.lab.Routers() {
		if st, err := s.lab.RouterState(context.Background(), p); err != nil || st.Generation != g {
			return false
		}
	}
	for _, p := range s.lab.Agents() {
		if st, err := s.lab.AgentState(context.Background(), p); err != nil || st.Generation != g {
			return false
		}
	}
	return true
}

// TestRolls changes a running fleet by its bundle: a server that is to leave
// gets no new work and cuts nothing, a team's old key is refused, and a revert
// is a new generation.
func TestRolls(t *testing.T) {
	s := newSmall(t)
	l := s.load(0, 12)
	require.Eventually(t, func() bool { return s.engines[0].Running() > 0 }, patience, step)
	leaving := s.bundle
	leaving.Servers = slices.Clone(s.lab.Servers())
	leaving.Servers[0].Leaving = true
	require.EqualValues(t, 2, s.rollAndWait(leaving).Generation)
	require.Eventually(t, func() bool { return s.engines[0].Running() == 0 }, patience, step)
	for range 20 {
		require.Equal(t, caller.Served, s.complete(1, 2, false).Kind)
		require.Zero(t, s.engines[0].Running())
	}
	kinds := l.end()
	require.Zero(t, kinds[caller.Broken]+kinds[caller.Refused]+kinds[caller.GivenUp])

	newKey, hash := operate.NewTeamKey()
	rotated := s.bundle
	rotated.Servers = s.lab.Servers()
	rotated.Teams = []bundle.Team{{Name: "zurich", Share: 1, Keys: []string{hash}}}
	require.EqualValues(t, 3, s.rollAndWait(rotated).Generation)
	require.Equal(t, "unknown_key", s.complete(0, 2, false).Reason)
	renewed := caller.New(caller.Team{Name: "zurich", Key: newKey})
	require.Equal(t, caller.Served, renewed.Complete(context.Background(), s.url(0), caller.Work{Tokens: 2}).Kind)

	reverted := s.bundle
	reverted.Servers = s.lab.Servers()
	require.EqualValues(t, 4, s.rollAndWait(reverted).Generation)
	require.Equal(t, caller.Served, s.complete(0, 2, false).Kind)
}

// TestNodesKeepToTheNewest puts an older order back at the pointer, as no
// operator's tool would: nobody goes back.
func TestNodesKeepToTheNewest(t *testing.T) {
	s := newSmall(t)
	client := objectapi.NewClient(s.lab.PlatformAddress())
	first, err := client.Get(context.Background(), objectapi.BundlePointer)
	require.NoError(t, err)
	changed := s.bundle
	changed.Servers = s.lab.Servers()
	changed.Limits.MaxWaiting = 77
	s.rollAndWait(changed)
	now, err := client.Get(context.Background(), objectapi.BundlePointer)
	require.NoError(t, err)
	_, err = client.Put(context.Background(), objectapi.BundlePointer, first.Body, now.Version)
	require.NoError(t, err)
	restarted := s.lab.Routers()[1]
	for range 50 {
		require.True(t, s.everywhere(2))
	}
	restarted.Kill() // it starts with no state, and hears of both
	require.NoError(t, restarted.Start())
	require.Eventually(t, func() bool { return s.everywhere(2) }, patience, step)
}
