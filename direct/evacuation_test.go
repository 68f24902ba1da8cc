package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTwoHallHarness returns a harness with three servers in hall a and three in hall b, which
// get requests at a reduced rate while they are cold.
func newTwoHallHarness(t *testing.T) *harness {
	h := &harness{t: t, m: NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}), now: 10 * time.Second}
	h.m.Update(ConfigMsg{Now: h.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}, Cold: ColdLimit{PerSecond: 20, Lasts: 3 * time.Second}}},
		Limits:   Limits{TokensPerSecond: 1e6},
	}})
	h.m.Update(ServersMsg{Now: h.now, Directory: hallDirectory(1)})
	return h
}

func hallDirectory(revision uint64) Directory {
	d := Directory{Revision: revision}
	for i := range 6 {
		d.Servers = append(d.Servers, Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: hallOf(i), Slots: 48})
	}
	return d
}

func hallOf(server int) string { return [...]string{"a", "b"}[server%2] }

func (h *harness) evacuate(revision uint64, halls ...string) []Cmd {
	return append([]Cmd(nil), h.m.Update(EvacuationsMsg{Now: h.now, Evacuations: Evacuations{Revision: revision, Halls: halls}})...)
}

// countByHall sends requests for some time and counts them by hall.
func (h *harness) countByHall(d time.Duration) map[string]int {
	halls := make(map[string]int)
	for end := h.now + d; h.now < end; {
		r := h.request("red", PromptPart{ID: uint64(h.lastID), Tokens: 100}, PromptPart{ID: uint64(h.lastID) << 20, Tokens: 100})
		if c, ok := findCmd[SendCmd](h.arrive(r)); ok {
			halls[c.Server.Zone]++
			h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
			h.end(r.ID, Done, false)
		}
		h.advance(TickInterval)
	}
	return halls
}

// TestEvacuatedHallGetsNothing evacuates one hall, then another instead, then none.
func TestEvacuatedHallGetsNothing(t *testing.T) {
	h := newTwoHallHarness(t)
	both := h.countByHall(time.Second)
	require.NotZero(t, both["a"])
	require.NotZero(t, both["b"])
	cmd, ok := findCmd[EvacuationCmd](h.evacuate(2, "b"))
	require.True(t, ok)
	require.Equal(t, EvacuationCmd{Hall: "b", Evacuated: true, Revision: 2, Servers: 3}, cmd)
	require.Zero(t, h.countByHall(time.Second)["b"])
	h.evacuate(3, "a")
	require.Zero(t, h.countByHall(time.Second)["a"], "hall a is evacuated instead of b")
	h.evacuate(4)
	require.NotZero(t, h.countByHall(5 * time.Second)["a"], "no hall is evacuated")
}

// TestOlderEvacuationsAreNotTaken applies an older set of evacuations after a newer one.
func TestOlderEvacuationsAreNotTaken(t *testing.T) {
	h := newTwoHallHarness(t)
	h.evacuate(5, "b")
	h.evacuate(4)
	require.Zero(t, h.countByHall(time.Second)["b"])
}

// TestNewServersOfAnEvacuatedHall adds a server to a hall that is evacuated.
func TestNewServersOfAnEvacuatedHall(t *testing.T) {
	h := newTwoHallHarness(t)
	h.evacuate(2, "b")
	d := hallDirectory(3)
	d.Servers = append(d.Servers, Server{ID: "new", Service: "llm", Zone: "b", Slots: 48})
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	require.Zero(t, h.countByHall(time.Second)["b"])
}

// TestEvacuatedEverywhere checks that requests are refused at once if all halls are evacuated,
// and that running requests continue.
func TestEvacuatedEverywhere(t *testing.T) {
	h := newTwoHallHarness(t)
	before := h.request("red")
	h.sent(h.arrive(before))
	h.evacuate(2, "a", "b")
	refused, ok := findCmd[RefuseCmd](h.arrive(h.request("red")))
	require.True(t, ok, "must not be queued without a usable server")
	require.Equal(t, ReasonNoServers, refused.Reason)
	require.Empty(t, h.advance(time.Second))
	require.Empty(t, h.end(before.ID, Done, false))
}

// TestReturnedServersCountAsCold ends an evacuation. Until the entries of the hall's servers
// have had time to show that they are cold, they get requests at the cold rate.
func TestReturnedServersCountAsCold(t *testing.T) {
	h := newTwoHallHarness(t)
	h.m.Update(MembershipMsg{Now: h.now, Routers: 20, ReportTTL: time.Second, Known: 20, Rank: 3})
	h.evacuate(2, "b")
	h.advance(time.Second)
	h.evacuate(3)
	cold := h.countByHall(2 * time.Second)
	require.LessOrEqual(t, cold["b"], 3*3, "three servers, each with one request per second and one at the start")
	h.advance(time.Second)
	warm := h.countByHall(2 * time.Second)
	require.Greater(t, warm["b"], 20)
}
