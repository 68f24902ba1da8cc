package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// gateSim simulates several routers that share servers of three versions: v1 is in use, v2 is
// the target version, and v3 was never ordered. It counts the requests that reach the servers.
type gateSim struct {
	t        *rapid.T
	now      time.Duration
	gate     rollout.Gate
	routers  []*simRouter
	revision uint64

	all, target int                  // requests that reached servers
	parts       map[uint64]partRange // by shared prompt part
}

// partRange records, for one shared prompt part, the highest fraction of the gate at which its
// requests went to old servers, and the lowest at which they went to the target version.
type partRange struct{ old, target float64 }

// simRouter is one router between two restarts.
type simRouter struct {
	m        *Machine
	gate     rollout.Gate // the applied gate
	isolated bool         // it gets no updates
	lastID   RequestID
	running  []*simRequest
	waiting  map[RequestID]Request
	begun    map[RequestID]string // versions that began streams, by request
}

// simRequest is a running attempt.
type simRequest struct {
	Request
	version string
	reached bool
	started bool
	attempt int
}

// TestRolloutRules checks random histories of several routers against the counts of their
// servers. For a longer run:
//
//	go test ./direct -run TestRolloutRules -rapid.checks=3000 -rapid.steps=200
func TestRolloutRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &gateSim{t: t, now: time.Second, parts: make(map[uint64]partRange), gate: rollout.Gate{
			Service: "llm", InUse: []string{"v1"}, Target: "v2", ServerFraction: 0.3,
			Fraction: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "part"),
			Limit:    rapid.SampledFrom([]float64{0.02, 0.05, 0.3}).Draw(t, "limit"),
		}}
		for range 3 {
			s.start()
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   func(*rapid.T) { s.arrive() },
			"flood":    func(*rapid.T) { s.flood() },
			"first":    func(*rapid.T) { s.first() },
			"end":      func(*rapid.T) { s.end() },
			"tick":     func(*rapid.T) { s.tick() },
			"list":     func(*rapid.T) { s.list() },
			"evacuate": func(*rapid.T) { s.evacuate() },
			"restart":  func(*rapid.T) { s.restart() },
			"cut":      func(*rapid.T) { r := s.drawRouter(); r.isolated = !r.isolated },
			"stage":    func(*rapid.T) { s.stage() },
			"":         func(*rapid.T) { s.check() },
		})
	})
}

// start adds a router, with or without the gate.
func (s *gateSim) start() {
	r := &simRouter{waiting: make(map[RequestID]Request), begun: make(map[RequestID]string), m: NewMachine(Options{
		Zone: "a", Gated: true, RetryBudget: RetryBudgetOptions{Ratio: 0.5, Slack: 50, Window: 10 * time.Second},
	})}
	s.routers = append(s.routers, r)
	s.update(r, ConfigMsg{Now: s.now, Config: Config{Version: 1, Limits: Limits{TokensPerSecond: 1e6}, Services: []Service{{
		Name: "llm", Engine: &Engine{Slots: 8, KVTokens: 100000}, Cold: ColdLimit{PerSecond: 20, Lasts: time.Second},
	}}}})
	s.update(r, ServersMsg{Now: s.now, Directory: s.directory()})
	if rapid.Bool().Draw(s.t, "knows") {
		s.sendGate(r)
	}
}

func (s *gateSim) sendGate(r *simRouter) {
	r.gate = s.gate
	s.update(r, GateMsg{Now: s.now, Gate: s.gate})
}

func (s *gateSim) drawRouter() *simRouter {
	return s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(s.t, "router")]
}

func (s *gateSim) directory() Directory {
	s.revision++
	d := Directory{Revision: s.revision}
	for _, version := range []string{"v1", "v2", "v3"} {
		for i := range 6 {
			state := rapid.IntRange(0, 9).Draw(s.t, "state")
			if state == 0 {
				continue
			}
			listed := Server{
				ID: fmt.Sprint(version, "-", i), Service: "llm", Version: version, Zone: [...]string{"a", "b", "c"}[i%3], Slots: 8, Draining: state == 1,
			}
			if state == 2 {
				listed.ColdFor = time.Second
			}
			d.Servers = append(d.Servers, listed)
		}
	}
	return d
}

func (s *gateSim) list() {
	d := s.directory()
	for _, r := range s.routers {
		if !r.isolated {
			s.update(r, ServersMsg{Now: s.now, Directory: d})
		}
	}
}

func (s *gateSim) evacuate() {
	s.revision++
	halls := rapid.SampledFrom([][]string{nil, {"a"}, {"b", "c"}}).Draw(s.t, "halls")
	for _, r := range s.routers {
		if !r.isolated {
			s.update(r, EvacuationsMsg{Now: s.now, Evacuations: Evacuations{Revision: s.revision, Halls: halls}})
		}
	}
}

func (s *gateSim) restart() {
	i := rapid.IntRange(0, len(s.routers)-1).Draw(s.t, "restarts")
	if rapid.Bool().Draw(s.t, "stays") && len(s.routers) > 2 {
		s.routers = append(s.routers[:i], s.routers[i+1:]...)
	}
	s.start()
}

// stage advances the gate. Each router that is not isolated gets it at once or with a later
// stage.
func (s *gateSim) stage() {
	switch rapid.IntRange(0, 5).Draw(s.t, "stage") {
	case 0:
		s.gate.Fraction = max(s.gate.Fraction, rapid.SampledFrom([]float64{0.2, 0.6, 1}).Draw(s.t, "part"))
	case 1:
		s.gate.Fraction, s.gate.OldClosed = 1, true
	}
	for _, r := range s.routers {
		if !r.isolated && rapid.Bool().Draw(s.t, "hears") {
			s.sendGate(r)
		}
	}
}

func (s *gateSim) arrive() { s.arriveAt(s.drawRouter(), rapid.Bool().Draw(s.t, "shared")) }

// flood sends many requests to one router and completes them.
func (s *gateSim) flood() {
	r := s.drawRouter()
	for range 30 {
		s.arriveAt(r, true)
		for len(r.running) > 0 {
			s.endOf(r, 0, Done, false)
		}
		s.now += TickInterval
		s.update(r, TickMsg{Now: s.now})
	}
}

func (s *gateSim) arriveAt(r *simRouter, shared bool) {
	r.lastID++
	request := Request{
		ID: r.lastID, Team: "red", Service: "llm", Kind: Stream, Route: rapid.SampledFrom([]string{"chat", "tag"}).Draw(s.t, "route"),
		Version: rapid.SampledFrom([]string{"", "", "", "v1", "v2", "v3"}).Draw(s.t, "version"), MayRepeat: rapid.Bool().Draw(s.t, "repeat"), Attempts: rapid.IntRange(1, 3).Draw(s.t, "attempts"),
		Objective: 300 * time.Millisecond, Deadline: s.now + 5*time.Second, PromptTokens: 600, OutputTokens: 50,
	}
	if shared {
		// Part 1 is the most frequent one.
		part := max(rapid.IntRange(-6, 12).Draw(s.t, "part"), 1)
		request.Parts = []PromptPart{{ID: uint64(part), Tokens: 500}, {ID: uint64(request.ID) << 32, Tokens: 100}}
	}
	r.waiting[request.ID] = request
	r.begun[request.ID] = request.Version
	s.update(r, RequestMsg{Now: s.now, Request: request})
}

func (s *gateSim) update(r *simRouter, msg Msg) {
	for _, c := range r.m.Update(msg) {
		switch c := c.(type) {
		case SendCmd:
			s.send(r, c)
		case RefuseCmd:
			delete(r.waiting, c.ID)
		case FailCmd:
			delete(r.waiting, c.ID)
		case ResponseCmd:
			require.NotEqual(s.t, c.Response.Cohort, "", "evidence without a cohort")
		}
	}
}

func (s *gateSim) send(r *simRouter, c SendCmd) {
	require.NotEqual(s.t, "v3", c.Server.Version, "request to a version that was never ordered")
	require.NotEmpty(s.t, r.gate.Service, "request sent without a gate")
	target := c.Server.Version == "v2"
	require.Equal(s.t, target, c.PlacementBasis.Target)
	require.False(s.t, target && r.gate.Fraction == 0, "request to the target version, whose fraction is 0")
	begun := r.begun[c.ID]
	require.False(s.t, !target && r.gate.OldClosed && begun != "v1", "request to an old version after these were closed")
	require.False(s.t, begun != "" && begun != c.Server.Version, "a stream goes on at another version")
	request := r.waiting[c.ID]
	if part, shared := request.lastShared(); shared {
		ranges := s.parts[part.ID]
		switch {
		case c.PlacementBasis.Side == SideOld:
			ranges.old = max(ranges.old, r.gate.Fraction)
		case c.PlacementBasis.Side == SideTarget && c.Attempt == 1 && (ranges.target == 0 || r.gate.Fraction < ranges.target):
			ranges.target = r.gate.Fraction
		}
		s.parts[part.ID] = ranges
		require.False(s.t, ranges.target > 0 && ranges.old >= ranges.target, "prompt part %d is on both sides: %v", part.ID, ranges)
	}
	reached := rapid.IntRange(0, 5).Draw(s.t, "reaches") > 0
	if reached {
		s.all++
		if target {
			s.target++
		}
	}
	r.running = append(r.running, &simRequest{Request: request, version: c.Server.Version, reached: reached, attempt: c.Attempt})
}

func (s *gateSim) first() {
	r := s.drawRouter()
	for _, q := range r.running {
		if q.reached && !q.started {
			q.started = true
			streaming := rapid.Bool().Draw(s.t, "streaming")
			if streaming {
				r.begun[q.ID] = q.version
			}
			s.update(r, FirstEventMsg{Now: s.now, ID: q.ID, Streaming: streaming})
			return
		}
	}
}

func (s *gateSim) end() {
	r := s.drawRouter()
	if len(r.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.running)-1).Draw(s.t, "running")
	q := r.running[i]
	outcomes := []Outcome{Unsent, Elsewhere, Broken, Hung, GivenUp}
	switch {
	case q.started:
		outcomes = []Outcome{Done, Failed, Broken, Hung, GivenUp}
	case q.reached:
		outcomes = []Outcome{Done, Failed, NotRun, Broken, Hung, GivenUp}
	}
	o := rapid.SampledFrom(outcomes).Draw(s.t, "outcome")
	s.endOf(r, i, o, o != Done && o != GivenUp && rapid.Bool().Draw(s.t, "retry"))
}

func (s *gateSim) endOf(r *simRouter, i int, o Outcome, retry bool) {
	q := r.running[i]
	if !q.reached && o == Done {
		o = Broken
	}
	r.running = append(r.running[:i:i], r.running[i+1:]...)
	s.update(r, AttemptEndMsg{Now: s.now, ID: q.ID, Outcome: o, Retry: retry})
}

func (s *gateSim) tick() {
	for range rapid.IntRange(1, 20).Draw(s.t, "ticks") {
		s.now += TickInterval
		for _, r := range s.routers {
			s.update(r, TickMsg{Now: s.now})
		}
	}
}

// check verifies the invariants that hold at any time.
func (s *gateSim) check() {
	require.LessOrEqual(s.t, float64(s.target), s.gate.Limit*float64(s.all), "the target version got %d of %d requests", s.target, s.all)
	for _, r := range s.routers {
		old := 0
		for _, q := range r.running {
			if q.version != "v2" {
				old++
			}
		}
		if r.gate.Target != "" {
			require.Equal(s.t, old, r.m.OldRunning("llm"))
		}
	}
}

// TestRolloutGateWithOneVersionChangesNothing compares two routers over random histories, one
// of them with a gate that admits the only version: both emit the same commands.
func TestRolloutGateWithOneVersionChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudgetOptions{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		plain, gated := NewMachine(Options{Zone: "a", RetryBudget: budget}), NewMachine(Options{Zone: "a", RetryBudget: budget, Gated: true})
		update := func(msg Msg) []Cmd {
			cmds := append([]Cmd(nil), plain.Update(msg)...)
			require.Equal(t, cmds, append([]Cmd(nil), gated.Update(msg)...))
			return cmds
		}
		now, lastID := time.Second, RequestID(0)
		update(ConfigMsg{Now: now, Config: Config{Version: 1, Limits: Limits{TokensPerSecond: 50000},
			Services: []Service{{Name: "llm", Engine: &Engine{Slots: 8, KVTokens: 100000}}}}})
		gated.Update(GateMsg{Now: now, Gate: rollout.Gate{Service: "llm", InUse: []string{"v1"}}})
		update(ServersMsg{Now: now, Directory: versionDirectory(1, 5, "v1")})
		var running []RequestID
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			var cmds []Cmd
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step < 3:
				lastID++
				cmds = update(RequestMsg{Now: now, Request: Request{
					ID: lastID, Team: "red", Service: "llm", Kind: Stream, MayRepeat: true, Attempts: 2, Objective: 300 * time.Millisecond,
					Deadline: now + 5*time.Second, PromptTokens: 5000, OutputTokens: 50, Parts: []PromptPart{{ID: uint64(lastID % 9), Tokens: 500}, {ID: uint64(lastID) + 100, Tokens: 10}},
				}})
			case step == 3 && len(running) > 0:
				id := running[0]
				running = running[1:]
				update(FirstEventMsg{Now: now, ID: id})
				o := rapid.SampledFrom([]Outcome{Done, Failed, Broken, NotRun, Unsent}).Draw(t, "outcome")
				cmds = update(AttemptEndMsg{Now: now, ID: id, Outcome: o, Retry: o != Done})
			default:
				now += TickInterval
				cmds = update(TickMsg{Now: now})
			}
			for _, c := range cmds {
				if c, ok := c.(SendCmd); ok {
					running = append(running, c.ID)
				}
			}
		}
	})
}
