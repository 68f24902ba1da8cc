package memory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetIsBounded grows, shrinks and closes accounts at random. The total never exceeds the
// capacity and equals the sum of the open accounts. An account is dropped only if no other team with
// droppable accounts holds more than its team.
func TestBudgetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(100)
		var all []*Account
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				all = append(all, &Account{
					Team: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), Pinned: rapid.IntRange(0, 3).Draw(t, "kept") == 0,
				})
			}
			a := rapid.SampledFrom(all).Draw(t, "account")
			n := rapid.IntRange(0, 60).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				b.Shrink(a, n)
			case 1:
				b.Close(a)
			default:
				growAndCheck(t, b, all, a, n)
			}
			sum := int64(0)
			for _, account := range all {
				sum += account.Bytes()
				require.False(t, account.Closed() && account.Bytes() > 0)
			}
			require.Equal(t, sum, b.Held())
			require.LessOrEqual(t, b.Held(), b.Capacity())
		}
	})
}

func growAndCheck(t *rapid.T, b *Budget, all []*Account, a *Account, n int) {
	before := make(map[*Account]int64)
	for _, account := range all {
		before[account] = account.Bytes()
	}
	held := b.Held()
	dropped, ok := b.Grow(a, n)
	if held+int64(n) <= b.Capacity() {
		require.Equal(t, !a.Closed(), ok, "the budget has room")
		require.Empty(t, dropped)
	}
	for _, victim := range dropped {
		require.False(t, victim.Pinned)
		require.NotSame(t, a, victim)
		teams := make(map[string]int64)
		droppable := make(map[string]bool)
		for account, bytes := range before {
			teams[account.Team] += bytes
			droppable[account.Team] = droppable[account.Team] || !account.Pinned && bytes > 0
		}
		teams[a.Team] += int64(n)
		for team, bytes := range teams {
			if droppable[team] || team == a.Team {
				require.LessOrEqual(t, bytes, teams[victim.Team], "another team holds more")
			}
		}
		before[victim] = 0
	}
}

// TestLargestAccountOfHeaviestTeamIsDropped fills the budget with one team's unread responses. The
// growth of another team's account drops the first team's largest one.
func TestLargestAccountOfHeaviestTeamIsDropped(t *testing.T) {
	b := NewBudget(100)
	small, large := &Account{Team: "red"}, &Account{Team: "red"}
	mustGrow(t, b, small, 30)
	mustGrow(t, b, large, 60)
	other := &Account{Team: "blue"}
	mustGrow(t, b, other, 10)
	dropped, ok := b.Grow(other, 10)
	require.True(t, ok)
	require.Equal(t, []*Account{large}, dropped)
	require.True(t, large.Closed())
	_, ok = b.Grow(large, 1)
	require.False(t, ok, "the account was dropped")
}

// TestHeaviestTeamDropsItsOwnAccounts grows an account of the team that holds the most. The team's
// own largest account is dropped; if that is the growing one, it is refused instead.
func TestHeaviestTeamDropsItsOwnAccounts(t *testing.T) {
	b := NewBudget(100)
	largest, other := &Account{Team: "red"}, &Account{Team: "blue"}
	mustGrow(t, b, largest, 70)
	mustGrow(t, b, other, 30)
	_, ok := b.Grow(largest, 5)
	require.False(t, ok, "the growing account is the largest")
	require.EqualValues(t, 70, largest.Bytes(), "a refused account keeps what it holds")
	smaller := &Account{Team: "red"}
	dropped, ok := b.Grow(smaller, 5)
	require.True(t, ok)
	require.Equal(t, []*Account{largest}, dropped)
}

// TestPinnedAccountsAreNotDropped has the team that holds the most hold only a pinned account. Further
// growth of the team is refused, and another team's unread response is not dropped for it.
func TestPinnedAccountsAreNotDropped(t *testing.T) {
	b := NewBudget(100)
	body, other := &Account{Team: "red", Pinned: true}, &Account{Team: "blue"}
	mustGrow(t, b, body, 70)
	mustGrow(t, b, other, 30)
	for _, a := range []*Account{{Team: "red"}, {Team: "red", Pinned: true}, body} {
		dropped, ok := b.Grow(a, 5)
		require.False(t, ok)
		require.Empty(t, dropped)
	}
}

func mustGrow(t *testing.T, b *Budget, a *Account, n int) {
	t.Helper()
	dropped, ok := b.Grow(a, n)
	require.True(t, ok)
	require.Empty(t, dropped)
}

// TestResponsesGiveWayToOtherTeams guards against responses without an end that take the memory of all teams:
// the largest of the team that holds the most is dropped, for a team that holds less.
func TestResponsesGiveWayToOtherTeams(t *testing.T) {
	b := NewBudget(100)
	small := &Account{Team: "red", Pinned: true, Receiving: true}
	large := &Account{Team: "red", Pinned: true, Receiving: true}
	body := &Account{Team: "red", Pinned: true}
	for account, n := range map[*Account]int{small: 20, large: 40, body: 40} {
		dropped, ok := b.Grow(account, n)
		require.True(t, ok)
		require.Empty(t, dropped)
	}
	_, ok := b.Grow(small, 1)
	require.False(t, ok, "not for its own team")
	other := &Account{Team: "blue", Pinned: true, Receiving: true}
	dropped, ok := b.Grow(other, 30)
	require.True(t, ok)
	require.Equal(t, []*Account{large}, dropped)
	dropped, ok = b.Grow(other, 30)
	require.False(t, ok, "its team would hold as much as the other")
	require.Empty(t, dropped)
	require.False(t, small.Closed() || body.Closed())
}
