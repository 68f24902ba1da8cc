package memory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetIsBounded has teams hold, release and end accounts at random. Never is more held than
// the budget allows; what is held is the sum of what is not closed; and a team gives way only
// while no other team with unread answers holds more.
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
	for _, one := range all {
		before[one] = one.Bytes()
	}
	held := b.Held()
	dropped, ok := b.Grow(a, n)
	if held+int64(n) <= b.Capacity() {
		require.Equal(t, !a.Closed(), ok, "there is room")
		require.Empty(t, dropped)
	}
	for _, victim := range dropped {
		require.False(t, victim.Pinned)
		require.NotSame(t, a, victim)
		teams := make(map[string]int64)
		droppable := make(map[string]bool)
		for one, bytes := range before {
			teams[one.Team] += bytes
			droppable[one.Team] = droppable[one.Team] || !one.Pinned && bytes > 0
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

// TestLargestAccountOfHeaviestTeamIsDropped fills the budget with one team's unread answers; the answers of
// another team find room, and the first team's largest ones give way.
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
	require.False(t, ok, "it has given way")
}

// TestHeaviestTeamDropsItsOwnAccounts has a team that holds most ask for more: its own largest
// gives way, which may be what asks.
func TestHeaviestTeamDropsItsOwnAccounts(t *testing.T) {
	b := NewBudget(100)
	answer, other := &Account{Team: "red"}, &Account{Team: "blue"}
	mustGrow(t, b, answer, 70)
	mustGrow(t, b, other, 30)
	_, ok := b.Grow(answer, 5)
	require.False(t, ok, "it is the largest itself")
	require.EqualValues(t, 70, answer.Bytes(), "it keeps what it has")
	one := &Account{Team: "red"}
	dropped, ok := b.Grow(one, 5)
	require.True(t, ok)
	require.Equal(t, []*Account{answer}, dropped)
}

// TestPinnedAccountsAreNotDropped has a team hold all memory with what can't be dropped: nothing more of it is
// taken, and another team's unread answers stay.
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
