package direct

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadSim sends a mix of routes to simulated servers that read one prompt after the other,
// cache shared parts, and write slower the more requests they run.
type loadSim struct {
	h          *harness
	random     *rand.Rand
	slowFactor float64 // of the target version's servers
	servers    map[string]*modelServer
	events     []modelEvent // sorted by time
	responses  map[bool]*tally
}

// modelServer is the state of a simulated server.
type modelServer struct {
	target    bool
	readUntil time.Duration // when it has read all its prompts
	running   int
	parts     map[uint64]bool
}

// modelEvent is a scheduled first event or end of a response.
type modelEvent struct {
	at     time.Duration
	id     RequestID
	server *modelServer
	first  bool
}

func newLoadSim(t *testing.T, slow float64) *loadSim {
	g := canaryGate(0.1)
	g.ServerFraction = 0.1
	h := newRolloutHarness(t, g)
	h.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(2, 30, "v1", "v2")})
	h.advance(2 * evidenceDelay)
	sim := &loadSim{
		h: h, random: rand.New(rand.NewPCG(1, 2)), slowFactor: slow, servers: make(map[string]*modelServer),
		responses: map[bool]*tally{false: {}, true: {}},
	}
	for _, s := range h.m.Servers(h.now) {
		sim.servers[s.ID] = &modelServer{target: s.Version == "v2", parts: make(map[uint64]bool)}
	}
	return sim
}

// run sends perSecond requests per second for some time.
func (sim *loadSim) run(perSecond float64, lasts time.Duration) {
	end := sim.h.now + lasts
	next := sim.h.now
	for sim.h.now < end {
		sim.h.now += time.Millisecond
		for ; next < sim.h.now; next += time.Duration(sim.random.ExpFloat64() / perSecond * float64(time.Second)) {
			sim.handleCmds(sim.h.arrive(sim.request()))
		}
		for len(sim.events) > 0 && sim.events[0].at <= sim.h.now {
			e := sim.events[0]
			sim.events = sim.events[1:]
			sim.handleEvent(e)
		}
		if sim.h.now%TickInterval == 0 {
			sim.handleCmds(sim.h.m.Update(TickMsg{Now: sim.h.now}))
		}
	}
}

// request returns a request of one of three routes, with a prompt part that some others share.
func (sim *loadSim) request() Request {
	route := [...]struct {
		name                string
		shared, own, output int
	}{{"plan", 5400, 6600, 55}, {"chat", 200, 630, 42}, {"tag", 570, 1800, 3}}[sim.random.IntN(3)]
	part := uint64(sim.random.IntN(200))*10 + uint64(len(route.name))
	r := sim.h.request("red", PromptPart{ID: part, Tokens: route.shared}, PromptPart{ID: uint64(sim.h.lastID) << 32, Tokens: route.own})
	r.Route, r.PromptTokens, r.OutputTokens, r.Objective = route.name, route.shared+route.own, route.output, 800*time.Millisecond
	return r
}

func (sim *loadSim) handleEvent(e modelEvent) {
	if e.first {
		sim.handleCmds(sim.h.m.Update(FirstEventMsg{Now: sim.h.now, ID: e.id}))
		return
	}
	e.server.running--
	sim.handleCmds(sim.h.m.Update(AttemptEndMsg{Now: sim.h.now, ID: e.id, Outcome: Done}))
}

func (sim *loadSim) handleCmds(cmds []Cmd) {
	for _, c := range slices.Clone(cmds) {
		switch c := c.(type) {
		case SendCmd:
			sim.send(c, sim.h.m.requests[c.ID])
		case ResponseCmd:
			sim.responses[c.Response.Target].add(c.Response.Bad)
		}
	}
}

// send simulates how a server reads the prompt and writes the response.
func (sim *loadSim) send(c SendCmd, r *requestState) {
	s := sim.servers[c.Server.ID]
	times := 1.0
	if s.target {
		times = sim.slowFactor
	}
	tokens := r.ownTokens()
	if part, _ := r.lastShared(); !s.parts[part.ID] {
		s.parts[part.ID] = true
		tokens += part.Tokens
	}
	s.running++
	s.readUntil = max(s.readUntil, sim.h.now) + milliseconds(times*float64(tokens)/60)
	first := s.readUntil + milliseconds(10*times+5*sim.random.Float64())
	if sim.random.IntN(50) == 0 {
		first += 50 * time.Millisecond // pause of the server
	}
	each := 4 * times * (1 + float64(s.running)/16)
	last := first + milliseconds(each*float64(r.OutputTokens))
	sim.events = append(sim.events, modelEvent{at: first, id: c.ID, server: s, first: true}, modelEvent{at: last, id: c.ID, server: s})
	slices.SortStableFunc(sim.events, func(a, b modelEvent) int { return cmp.Compare(a.at, b.at) })
}

// rates returns the fractions of bad responses, of old servers and of the target version's.
func (sim *loadSim) rates() (old, target float64) {
	rate := func(t *tally) float64 { return float64(t.bad) / float64(max(t.good+t.bad, 1)) }
	return rate(sim.responses[false]), rate(sim.responses[true])
}

// TestRolloutEvidenceUnderLoad distinguishes a version that is four times slower from an
// equally fast one at low load, near the servers' capacity and beyond it.
func TestRolloutEvidenceUnderLoad(t *testing.T) {
	for _, perSecond := range []float64{100, 250, 600} {
		good, slow := newLoadSim(t, 1), newLoadSim(t, 4)
		for _, sim := range []*loadSim{good, slow} {
			sim.run(perSecond, 20*time.Second)
		}
		oldRate, goodRate := good.rates()
		_, slowRate := slow.rates()
		require.Less(t, goodRate, oldRate+0.05, "%v requests per second", perSecond)
		require.Greater(t, slowRate, oldRate+0.3, "%v requests per second", perSecond)
	}
}
