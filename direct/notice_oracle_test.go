package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// noticeSim drives a machine through a random history and records the notices of each server
// separately.
type noticeSim struct {
	t             *rapid.T
	m             *Machine
	now           time.Duration
	revision      uint64
	lastID        RequestID
	running       []RequestID
	at            map[RequestID]string
	leftAt        map[string]time.Duration // when a server first announced that it is leaving
	backoffUntil  map[string]time.Duration // end of a server's backoff
	maxLastResort time.Duration            // longest time after leftAt in which a server may serve as a last resort
}

// simServers is the number of servers, of two versions and in two halls.
const simServers = 5

// TestNoticesHold runs random histories of lists that disagree with notices, rollouts,
// evacuated halls, retries and failures. At any time, no request is sent to a server that asked
// for a backoff, and a server that announced that it is leaving gets requests only as a last
// resort. For a longer run:
//
//	go test ./direct -run TestNoticesHold -rapid.checks=20000
func TestNoticesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drain := rapid.SampledFrom([]time.Duration{0, 500 * time.Millisecond, 2 * time.Second}).Draw(t, "drain")
		sim := &noticeSim{
			t: t, now: time.Second, at: make(map[RequestID]string),
			leftAt: make(map[string]time.Duration), backoffUntil: make(map[string]time.Duration),
			maxLastResort: maxLastResortTime, m: NewMachine(Options{
				Zone: "a", Drain: drain, Gated: rapid.Bool().Draw(t, "gated"), RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
			}),
		}
		if drain > 0 {
			sim.maxLastResort = min(sim.maxLastResort, drain)
		}
		sim.update(ConfigMsg{Now: sim.now, Config: Config{Version: 1, Services: []Service{{Name: "llm", Engine: &Engine{Slots: 8, KVTokens: 90000}}}, Limits: Limits{TokensPerSecond: 1e6}}})
		sim.stage()
		sim.list()
		t.Repeat(map[string]func(*rapid.T){
			"list":     func(*rapid.T) { sim.list() },
			"stage":    func(*rapid.T) { sim.stage() },
			"evacuate": func(*rapid.T) { sim.evacuate() },
			"arrive":   func(*rapid.T) { sim.arrive() },
			"notice":   func(*rapid.T) { sim.notice() },
			"end":      func(*rapid.T) { sim.end() },
			"pass":     func(*rapid.T) { sim.pass() },
		})
	})
}

// update passes a message to the machine and checks what it sends.
func (sim *noticeSim) update(msg Msg) {
	for _, cmd := range sim.m.Update(msg) {
		c, ok := cmd.(SendCmd)
		if !ok {
			continue
		}
		id := c.Server.ID
		require.GreaterOrEqual(sim.t, sim.now, sim.backoffUntil[id], "sent to %s during its backoff until %s", id, sim.backoffUntil[id])
		if left, announced := sim.leftAt[id]; announced {
			require.LessOrEqual(sim.t, sim.now-left, sim.maxLastResort, "sent to %s, which has been leaving since %s", id, left)
		}
		sim.running = append(sim.running, c.ID)
		sim.at[c.ID] = id
	}
}

// list applies a list of some of the servers.
func (sim *noticeSim) list() {
	sim.revision++
	d := Directory{Revision: sim.revision}
	for i := range simServers {
		if rapid.IntRange(0, 3).Draw(sim.t, "listed") == 0 {
			continue
		}
		d.Servers = append(d.Servers, Server{
			ID: fmt.Sprint("s", i), Service: "llm", Zone: []string{"a", "b"}[i%2], Version: []string{"v1", "v2"}[i/2%2], Slots: 8,
			Draining: rapid.IntRange(0, 4).Draw(sim.t, "draining") == 0,
		})
	}
	sim.update(ServersMsg{Now: sim.now, Directory: d})
}

// stage starts a rollout to the other version at a random stage, or none.
func (sim *noticeSim) stage() {
	g := rollout.Gate{Service: "llm", InUse: []string{"v1", "v2"}, ServerFraction: 1}
	if rapid.Bool().Draw(sim.t, "moves") {
		g.InUse, g.Target, g.Limit = []string{"v1"}, "v2", 1
		g.Fraction = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(sim.t, "part")
		g.OldClosed = g.Fraction == 1 && rapid.Bool().Draw(sim.t, "closed")
	}
	sim.update(GateMsg{Now: sim.now, Gate: g})
}

func (sim *noticeSim) evacuate() {
	sim.revision++
	halls := rapid.SampledFrom([][]string{nil, {"a"}, {"b"}}).Draw(sim.t, "halls")
	sim.update(EvacuationsMsg{Now: sim.now, Evacuations: Evacuations{Revision: sim.revision, Halls: halls}})
}

func (sim *noticeSim) arrive() {
	sim.lastID++
	sim.update(RequestMsg{Now: sim.now, Request: Request{
		ID: sim.lastID, Team: "red", Route: "r", Service: "llm", Kind: Stream, MayRepeat: rapid.Bool().Draw(sim.t, "repeat"), Attempts: 3,
		Objective: 400 * time.Millisecond, Deadline: sim.now + 10*time.Second, PromptTokens: 100, OutputTokens: 10,
		Parts: []PromptPart{{ID: rapid.Uint64Range(1, 6).Draw(sim.t, "part"), Tokens: 50}, {ID: uint64(sim.lastID) << 32, Tokens: 50}},
	}})
}

// notice sends a random notice from the server of a running request.
func (sim *noticeSim) notice() {
	if len(sim.running) == 0 {
		return
	}
	id := sim.at[rapid.SampledFrom(sim.running).Draw(sim.t, "running")]
	n := Notice{
		Leaving: rapid.Bool().Draw(sim.t, "leaving"),
		Backoff: time.Duration(rapid.IntRange(0, 40).Draw(sim.t, "backoff")) * time.Second / 2,
	}
	if _, announced := sim.leftAt[id]; n.Leaving && !announced {
		sim.leftAt[id] = sim.now
	}
	sim.backoffUntil[id] = max(sim.backoffUntil[id], sim.now+n.Backoff)
	sim.update(NoticeMsg{Now: sim.now, Server: id, Notice: n})
}

// end ends the attempt that has run longest.
func (sim *noticeSim) end() {
	if len(sim.running) == 0 {
		return
	}
	id := sim.running[0]
	sim.running = sim.running[1:]
	o := rapid.SampledFrom([]Outcome{Done, Unsent, NotRun, Elsewhere, Failed, Broken, Hung, GivenUp, Withheld}).Draw(sim.t, "outcome")
	sim.update(AttemptEndMsg{Now: sim.now, ID: id, Outcome: o, Retry: o != Done && o != GivenUp})
}

// pass advances time, sometimes beyond the time for which gone servers are remembered.
func (sim *noticeSim) pass() {
	d := rapid.SampledFrom([]time.Duration{TickInterval, maxLastResortTime, maxLapseGrace, 3 * time.Second, 2 * goneRetention}).Draw(sim.t, "time")
	for end := sim.now + d; sim.now < end; {
		sim.now += TickInterval
		sim.update(TickMsg{Now: sim.now})
	}
}
