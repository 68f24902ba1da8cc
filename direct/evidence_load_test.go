package direct

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// workload plays a mix of routes against servers that read one prompt after the other,
// keep shared parts, and write slower the more runs there.
type loadSim struct {
	b          *harness
	random     *rand.Rand
	slowFactor float64 // times that the target's servers take
	servers    map[string]*modelServer
	events     []modelEvent // by time
	responses  map[bool]*tally
}

// modelServer is a server as it really is.
type modelServer struct {
	target    bool
	readUntil time.Duration // when it has read what it has
	running   int
	parts     map[uint64]bool
}

// modelEvent is a first event or an end that is to come.
type modelEvent struct {
	at     time.Duration
	id     RequestID
	server *modelServer
	first  bool
}

func newLoadSim(t *testing.T, slow float64) *loadSim {
	g := canaryGate(0.1)
	g.ServerFraction = 0.1
	b := newRolloutBench(t, g)
	b.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(2, 30, "v1", "v2")})
	b.advance(2 * evidenceDelay)
	w := &loadSim{
		b: b, random: rand.New(rand.NewPCG(1, 2)), slowFactor: slow, servers: make(map[string]*modelServer),
		responses: map[bool]*tally{false: {}, true: {}},
	}
	for _, s := range b.m.Servers(b.now) {
		w.servers[s.ID] = &modelServer{target: s.Version == "v2", parts: make(map[uint64]bool)}
	}
	return w
}

// play has some requests a second come for some time.
func (w *loadSim) run(perSecond float64, lasts time.Duration) {
	end := w.b.now + lasts
	next := w.b.now
	for w.b.now < end {
		w.b.now += time.Millisecond
		for ; next < w.b.now; next += time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)) {
			w.handleCmds(w.b.arrive(w.request()))
		}
		for len(w.events) > 0 && w.events[0].at <= w.b.now {
			e := w.events[0]
			w.events = w.events[1:]
			w.handleEvent(e)
		}
		if w.b.now%TickInterval == 0 {
			w.handleCmds(w.b.m.Update(TickMsg{Now: w.b.now}))
		}
	}
}

// request draws one of three routes, with a part that some others share.
func (w *loadSim) request() Request {
	route := [...]struct {
		name                string
		shared, own, output int
	}{{"plan", 5400, 6600, 55}, {"chat", 200, 630, 42}, {"tag", 570, 1800, 3}}[w.random.IntN(3)]
	part := uint64(w.random.IntN(200))*10 + uint64(len(route.name))
	r := w.b.request("red", PromptPart{ID: part, Tokens: route.shared}, PromptPart{ID: uint64(w.b.lastID) << 32, Tokens: route.own})
	r.Route, r.PromptTokens, r.OutputTokens, r.Objective = route.name, route.shared+route.own, route.output, 800*time.Millisecond
	return r
}

func (w *loadSim) handleEvent(e modelEvent) {
	if e.first {
		w.handleCmds(w.b.m.Update(FirstEventMsg{Now: w.b.now, ID: e.id}))
		return
	}
	e.server.running--
	w.handleCmds(w.b.m.Update(AttemptEndMsg{Now: w.b.now, ID: e.id, Outcome: Done}))
}

func (w *loadSim) handleCmds(cmds []Cmd) {
	for _, c := range slices.Clone(cmds) {
		switch c := c.(type) {
		case SendCmd:
			w.send(c, w.b.m.requests[c.ID])
		case ResponseCmd:
			w.responses[c.Response.Target].add(c.Response.Bad)
		}
	}
}

// send has a server read the prompt and write the answer.
func (w *loadSim) send(c SendCmd, r *requestState) {
	s := w.servers[c.Server.ID]
	times := 1.0
	if s.target {
		times = w.slowFactor
	}
	tokens := r.ownTokens()
	if part, _ := r.lastShared(); !s.parts[part.ID] {
		s.parts[part.ID] = true
		tokens += part.Tokens
	}
	s.running++
	s.readUntil = max(s.readUntil, w.b.now) + milliseconds(times*float64(tokens)/60)
	first := s.readUntil + milliseconds(10*times+5*w.random.Float64())
	if w.random.IntN(50) == 0 {
		first += 50 * time.Millisecond // a pause
	}
	each := 4 * times * (1 + float64(s.running)/16)
	last := first + milliseconds(each*float64(r.OutputTokens))
	w.events = append(w.events, modelEvent{at: first, id: c.ID, server: s, first: true}, modelEvent{at: last, id: c.ID, server: s})
	slices.SortStableFunc(w.events, func(a, b modelEvent) int { return cmp.Compare(a.at, b.at) })
}

// rates returns the parts of bad answers, of old servers and of the target's.
func (w *loadSim) rates() (old, target float64) {
	rate := func(t *tally) float64 { return float64(t.bad) / float64(max(t.good+t.bad, 1)) }
	return rate(w.responses[false]), rate(w.responses[true])
}

// TestRolloutEvidenceUnderLoad tells a version that is four times slower from one that is
// as good, at little load, near the servers' capacity and beyond it.
func TestRolloutEvidenceUnderLoad(t *testing.T) {
	for _, perSecond := range []float64{100, 250, 600} {
		good, slow := newLoadSim(t, 1), newLoadSim(t, 4)
		for _, w := range []*loadSim{good, slow} {
			w.run(perSecond, 20*time.Second)
		}
		oldRate, goodRate := good.rates()
		_, slowRate := slow.rates()
		require.Less(t, goodRate, oldRate+0.05, "%v requests a second", perSecond)
		require.Greater(t, slowRate, oldRate+0.3, "%v requests a second", perSecond)
	}
}
