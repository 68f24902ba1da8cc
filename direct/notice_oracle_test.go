package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// noticeHistory drives a machine through a random history, and remembers by itself what each
// server has said.
type noticeSim struct {
	t             *rapid.T
	m             *Machine
	now           time.Duration
	revision      uint64
	next          RequestID
	running       []RequestID
	at            map[RequestID]string
	leftAt        map[string]time.Duration // when a server first said that it leaves
	backoffUntil  map[string]time.Duration // until when a server wants nothing
	maxLastResort time.Duration            // most after that in which it may serve as a last resort
}

// servers of the history: of two versions, in two halls.
const simServers = 5

// TestNoticesHold plays random histories of lists that disagree with what servers said, of
// roll-outs, evacuated halls, retries and failures: whatever happens, no request is sent to a
// server that asked this router to back off, nor, but as a last resort, to one that said that it leaves. By hand:
// go test ./direct -run TestNoticesHold -rapid.checks=20000
func TestNoticesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drain := rapid.SampledFrom([]time.Duration{0, 500 * time.Millisecond, 2 * time.Second}).Draw(t, "drain")
		h := &noticeSim{
			t: t, now: time.Second, at: make(map[RequestID]string),
			leftAt: make(map[string]time.Duration), backoffUntil: make(map[string]time.Duration),
			maxLastResort: maxLastResortTime, m: NewMachine(Options{
				Zone: "a", Drain: drain, Gated: rapid.Bool().Draw(t, "gated"), RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
			}),
		}
		if drain > 0 {
			h.maxLastResort = min(h.maxLastResort, drain)
		}
		h.update(ConfigMsg{Now: h.now, Config: Config{Version: 1, Services: []Service{{Name: "llm", Engine: &Engine{Slots: 8, KVTokens: 90000}}}, Limits: Limits{TokensPerSecond: 1e6}}})
		h.stage()
		h.list()
		t.Repeat(map[string]func(*rapid.T){
			"list":     func(*rapid.T) { h.list() },
			"stage":    func(*rapid.T) { h.stage() },
			"evacuate": func(*rapid.T) { h.evacuate() },
			"arrive":   func(*rapid.T) { h.arrive() },
			"notice":   func(*rapid.T) { h.notice() },
			"end":      func(*rapid.T) { h.end() },
			"pass":     func(*rapid.T) { h.pass() },
		})
	})
}

// update tells the machine something, and checks what it sends.
func (h *noticeSim) update(msg Msg) {
	for _, cmd := range h.m.Update(msg) {
		c, ok := cmd.(SendCmd)
		if !ok {
			continue
		}
		id := c.Server.ID
		require.GreaterOrEqual(h.t, h.now, h.backoffUntil[id], "%s wants nothing until %s", id, h.backoffUntil[id])
		if left, announced := h.leftAt[id]; announced {
			require.LessOrEqual(h.t, h.now-left, h.maxLastResort, "%s leaves since %s", id, left)
		}
		h.running = append(h.running, c.ID)
		h.at[c.ID] = id
	}
}

// list puts a list of some of the servers in force.
func (h *noticeSim) list() {
	h.revision++
	d := Directory{Revision: h.revision}
	for i := range simServers {
		if rapid.IntRange(0, 3).Draw(h.t, "listed") == 0 {
			continue
		}
		d.Servers = append(d.Servers, Server{
			ID: fmt.Sprint("s", i), Service: "llm", Zone: []string{"a", "b"}[i%2], Version: []string{"v1", "v2"}[i/2%2], Slots: 8,
			Draining: rapid.IntRange(0, 4).Draw(h.t, "draining") == 0,
		})
	}
	h.update(ServersMsg{Now: h.now, Directory: d})
}

// stage moves the service to the other version, by some part, or not at all.
func (h *noticeSim) stage() {
	g := rollout.Gate{Service: "llm", InUse: []string{"v1", "v2"}, ServerFraction: 1}
	if rapid.Bool().Draw(h.t, "moves") {
		g.InUse, g.Target, g.Limit = []string{"v1"}, "v2", 1
		g.Fraction = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(h.t, "part")
		g.OldClosed = g.Fraction == 1 && rapid.Bool().Draw(h.t, "closed")
		g.MoveStreams = g.OldClosed
	}
	h.update(GateMsg{Now: h.now, Gate: g})
}

func (h *noticeSim) evacuate() {
	h.revision++
	halls := rapid.SampledFrom([][]string{nil, {"a"}, {"b"}}).Draw(h.t, "halls")
	h.update(EvacuationsMsg{Now: h.now, Evacuations: Evacuations{Revision: h.revision, Halls: halls}})
}

func (h *noticeSim) arrive() {
	h.next++
	h.update(RequestMsg{Now: h.now, Request: Request{
		ID: h.next, Team: "red", Route: "r", Service: "llm", Kind: Stream, MayRepeat: rapid.Bool().Draw(h.t, "repeat"), Attempts: 3,
		Objective: 400 * time.Millisecond, Deadline: h.now + 10*time.Second, PromptTokens: 100, OutputTokens: 10,
		Parts: []PromptPart{{ID: rapid.Uint64Range(1, 6).Draw(h.t, "part"), Tokens: 50}, {ID: uint64(h.next) << 32, Tokens: 50}},
	}})
}

// notice has the server of a running request say something with its answer.
func (h *noticeSim) notice() {
	if len(h.running) == 0 {
		return
	}
	id := h.at[rapid.SampledFrom(h.running).Draw(h.t, "running")]
	n := Notice{
		Leaving: rapid.Bool().Draw(h.t, "leaving"),
		Backoff: time.Duration(rapid.IntRange(0, 40).Draw(h.t, "backoff")) * time.Second / 2,
	}
	if _, announced := h.leftAt[id]; n.Leaving && !announced {
		h.leftAt[id] = h.now
	}
	h.backoffUntil[id] = max(h.backoffUntil[id], h.now+n.Backoff)
	h.update(NoticeMsg{Now: h.now, Server: id, Notice: n})
}

// end ends the attempt that runs longest.
func (h *noticeSim) end() {
	if len(h.running) == 0 {
		return
	}
	id := h.running[0]
	h.running = h.running[1:]
	o := rapid.SampledFrom([]Outcome{Done, Unsent, NotRun, Elsewhere, Failed, Broken, Hung, GivenUp, Withheld}).Draw(h.t, "outcome")
	h.update(AttemptEndMsg{Now: h.now, ID: id, Outcome: o, Retry: o != Done && o != GivenUp})
}

// pass lets time pass, at times longer than a server that has gone is remembered.
func (h *noticeSim) pass() {
	d := rapid.SampledFrom([]time.Duration{TickInterval, maxLastResortTime, maxLapseGrace, 3 * time.Second, 2 * goneRetention}).Draw(h.t, "time")
	for end := h.now + d; h.now < end; {
		h.now += TickInterval
		h.update(TickMsg{Now: h.now})
	}
}
