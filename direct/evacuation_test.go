package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// twoHalls returns a bench with three servers in hall a and three in hall b, which bear
// few requests while they are cold.
func newTwoHallBench(t *testing.T) *harness {
	b := &harness{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}), now: 10 * time.Second}
	b.m.Update(ConfigMsg{Now: b.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}, Cold: ColdLimit{PerSecond: 20, Lasts: 3 * time.Second}}},
		Limits:   Limits{TokensPerSecond: 1e6},
	}})
	b.m.Update(ServersMsg{Now: b.now, Directory: hallDirectory(1)})
	return b
}

func hallDirectory(revision uint64) Directory {
	d := Directory{Revision: revision}
	for i := range 6 {
		d.Servers = append(d.Servers, Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: hallOf(i), Slots: 48})
	}
	return d
}

func hallOf(server int) string { return [...]string{"a", "b"}[server%2] }

func (b *harness) evacuate(revision uint64, halls ...string) []Cmd {
	return append([]Cmd(nil), b.m.Update(EvacuationsMsg{Now: b.now, Evacuations: Evacuations{Revision: revision, Halls: halls}})...)
}

// sentTo sends requests for some time and counts them by hall.
func (b *harness) countByHall(d time.Duration) map[string]int {
	halls := make(map[string]int)
	for end := b.now + d; b.now < end; {
		r := b.request("red", PromptPart{ID: uint64(b.lastID), Tokens: 100}, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 100})
		if c, ok := findCmd[SendCmd](b.arrive(r)); ok {
			halls[c.Server.Zone]++
			b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
			b.end(r.ID, Done, false)
		}
		b.advance(TickInterval)
	}
	return halls
}

// TestEvacuatedHallGetsNothing evacuates a hall, another in its place, and none.
func TestEvacuatedHallGetsNothing(t *testing.T) {
	b := newTwoHallBench(t)
	both := b.countByHall(time.Second)
	require.NotZero(t, both["a"])
	require.NotZero(t, both["b"])
	cmd, ok := findCmd[EvacuationCmd](b.evacuate(2, "b"))
	require.True(t, ok)
	require.Equal(t, EvacuationCmd{Hall: "b", Evacuated: true, Revision: 2, Servers: 3}, cmd)
	require.Zero(t, b.countByHall(time.Second)["b"])
	b.evacuate(3, "a")
	require.Zero(t, b.countByHall(time.Second)["a"], "another hall")
	b.evacuate(4)
	require.NotZero(t, b.countByHall(5 * time.Second)["a"], "none")
}

// TestOlderEvacuationsAreNotTaken has an older set come late.
func TestOlderEvacuationsAreNotTaken(t *testing.T) {
	b := newTwoHallBench(t)
	b.evacuate(5, "b")
	b.evacuate(4)
	require.Zero(t, b.countByHall(time.Second)["b"])
}

// TestNewServersOfAnEvacuatedHall lists a server there while the hall is evacuated.
func TestNewServersOfAnEvacuatedHall(t *testing.T) {
	b := newTwoHallBench(t)
	b.evacuate(2, "b")
	d := hallDirectory(3)
	d.Servers = append(d.Servers, Server{ID: "new", Service: "llm", Zone: "b", Slots: 48})
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	require.Zero(t, b.countByHall(time.Second)["b"])
}

// TestEvacuatedEverywhere refuses at once where all halls are evacuated, and lets run on
// what was sent before.
func TestEvacuatedEverywhere(t *testing.T) {
	b := newTwoHallBench(t)
	before := b.request("red")
	b.sent(b.arrive(before))
	b.evacuate(2, "a", "b")
	refused, ok := findCmd[RefuseCmd](b.arrive(b.request("red")))
	require.True(t, ok, "it does not wait for what cannot come")
	require.Equal(t, ReasonNoServers, refused.Reason)
	require.Empty(t, b.advance(time.Second))
	require.Empty(t, b.end(before.ID, Done, false))
}

// TestReturnedServersCountAsCold takes a hall back: until its servers have had time to
// say that they are cold, they get no more than a cold server bears.
func TestReturnedServersCountAsCold(t *testing.T) {
	b := newTwoHallBench(t)
	b.m.Update(MembershipMsg{Now: b.now, Routers: 20, ReportTTL: time.Second, Known: 20, Rank: 3})
	b.evacuate(2, "b")
	b.advance(time.Second)
	b.evacuate(3)
	cold := b.countByHall(2 * time.Second)
	require.LessOrEqual(t, cold["b"], 3*3, "three servers, one request a second each, and one at first")
	b.advance(time.Second)
	warm := b.countByHall(2 * time.Second)
	require.Greater(t, warm["b"], 20)
}
