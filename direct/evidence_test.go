package direct

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// responsesIn returns the evidence in commands.
func responsesIn(cmds []Cmd) []rollout.ResponseMsg {
	var out []rollout.ResponseMsg
	for _, c := range cmds {
		if a, ok := c.(ResponseCmd); ok {
			out = append(out, a.Response)
		}
	}
	return out
}

// tally counts evidence.
type tally struct{ good, bad int }

func (t *tally) add(bad bool) {
	if bad {
		t.bad++
		return
	}
	t.good++
}

// slowFactors holds how many times slower than usual servers read and write.
type slowFactors struct{ old, target float64 }

// stream runs one request to its end at a server that reads 60 tokens per millisecond and
// writes a token in 5 ms, times its slow factor, and returns the evidence. Servers of the
// target version must also read the uncached tokens.
func (h *harness) stream(r Request, factors slowFactors, uncached int) []rollout.ResponseMsg {
	cmds := h.arrive(r)
	c, ok := findCmd[SendCmd](cmds)
	require.True(h.t, ok)
	times, read := factors.old, r.ownTokens()
	if c.PlacementBasis.Target {
		times = factors.target
		read += uncached
	}
	h.now += milliseconds(times * (10 + float64(read)/60))
	cmds = append(cmds, h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})...)
	cmds = append(cmds, h.advance(milliseconds(times*5*float64(r.OutputTokens)))...)
	return responsesIn(append(cmds, h.end(r.ID, Done, false)...))
}

// streams runs requests one after the other and counts the evidence.
func (h *harness) streams(n int, factors slowFactors) (starts, later, old tally) {
	for range n {
		for _, a := range h.stream(h.routeRequest("chat"), factors, 0) {
			switch {
			case !a.Target:
				old.add(a.Bad)
			case a.AfterStart:
				later.add(a.Bad)
			default:
				starts.add(a.Bad)
			}
		}
	}
	return starts, later, old
}

// TestRolloutEvidenceOfSlowVersions checks that there is evidence against a target version that
// is four times slower, and none if old and new servers are equally slow.
func TestRolloutEvidenceOfSlowVersions(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0.5))
	_, _, old := h.streams(60, slowFactors{1, 1})
	require.Zero(t, old.bad)
	starts, later, old := h.streams(100, slowFactors{1, 4})
	require.Zero(t, starts.good)
	require.Zero(t, later.good)
	require.Greater(t, starts.bad, 30)
	require.Equal(t, starts.bad, later.bad)
	require.Zero(t, old.bad)

	h = newRolloutHarness(t, canaryGate(0.5))
	h.streams(60, slowFactors{1, 1})
	h.streams(200, slowFactors{4, 4})
	starts, later, _ = h.streams(100, slowFactors{4, 4})
	require.Greater(t, starts.good, 30)
	require.Zero(t, starts.bad)
	require.Zero(t, later.bad)
}

// TestRolloutEvidenceOfSlowPlainServers checks that there is evidence against plain servers of
// the target version that are four times slower, and none against equally fast ones.
func TestRolloutEvidenceOfSlowPlainServers(t *testing.T) {
	for _, times := range []time.Duration{1, 4} {
		g := canaryGate(0.5)
		g.Service = "app"
		h := newRolloutHarness(t, g)
		d := versionDirectory(2, 6, "v1", "v2")
		for i := range d.Servers {
			d.Servers[i].Service = "app"
			d.Servers[i].ID += "-app"
		}
		h.m.Update(ServersMsg{Now: h.now, Directory: d})
		h.advance(2 * evidenceDelay)
		var got tally
		for range 200 {
			r := h.routeRequest("stock")
			r.Service, r.Kind = "app", AtMostOnce
			c, ok := findCmd[SendCmd](h.arrive(r))
			require.True(t, ok)
			took := 60 * time.Millisecond
			if c.PlacementBasis.Target {
				took *= times
			}
			h.now += took
			for _, a := range responsesIn(h.complete(r.ID)) {
				require.False(t, a.AfterStart)
				if a.Target {
					got.add(a.Bad)
				}
			}
		}
		require.Greater(t, got.good+got.bad, 60)
		slow := float64(got.bad) / float64(got.good+got.bad)
		require.InDelta(t, float64((times-1)/3), slow, 0.1)
	}
}

// TestRolloutEvidenceAllowsForReading checks that there is no evidence against servers that must
// read prompt parts that old servers have cached.
func TestRolloutEvidenceAllowsForReading(t *testing.T) {
	const shared = 12000
	h := newRolloutHarness(t, canaryGate(0))
	request := func(i int) Request {
		r := h.request("red", PromptPart{ID: uint64(i + 1), Tokens: shared}, PromptPart{ID: uint64(h.lastID) << 32, Tokens: 500})
		r.PromptTokens = shared + 500
		return r
	}
	for range 3 {
		for i := range 30 {
			h.stream(request(i), slowFactors{1, 1}, 0)
		}
	}
	h.gate(canaryGate(1))
	var target tally
	for i := range 30 {
		for _, a := range h.stream(request(i), slowFactors{1, 1}, shared) {
			target.add(a.Bad)
		}
	}
	require.Equal(t, tally{good: 60}, target)
}

// seedBaseline sets the speed of old servers for a route.
func (h *harness) seedBaseline(route string) {
	baseline := h.m.pool("llm").baseline.routes.get(route)
	for range baselineMinResponses {
		baseline.delayRatio.add(1, minFirstEventMS)
		baseline.tokenMS.add(5, minTokenMS)
	}
}

// TestRolloutEvidenceOfUnknownSpeed has the target version respond before the speed of old
// servers is known. Its successes don't count, or a slow version would pass as a good one. With
// each failure one of them counts, or a good version with few failures would be rejected as
// bad.
func TestRolloutEvidenceOfUnknownSpeed(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(1))
	attempt := func(o Outcome) (good, bad int) {
		r := h.routeRequest("chat")
		r.Kind = Repeatable
		h.sent(h.arrive(r))
		for _, a := range responsesIn(h.end(r.ID, o, false)) {
			if a.Bad {
				bad++
				continue
			}
			good++
		}
		return good, bad
	}
	goods, bads := 0, 0
	for range 30 {
		good, bad := attempt(Done)
		require.Zero(t, good+bad)
	}
	for range 30 {
		good, bad := attempt(Failed)
		goods, bads = goods+good, bads+bad
	}
	require.Equal(t, 30, bads)
	require.Equal(t, 30, goods)
	good, _ := attempt(Failed)
	require.Zero(t, good, "each held response must be reported only once")
}

// TestRolloutEvidenceOfOutcomes checks which outcomes are evidence for or against a version.
func TestRolloutEvidenceOfOutcomes(t *testing.T) {
	for outcome, want := range map[Outcome][]bool{
		Done: {false}, Failed: {true}, Unsent: nil, NotRun: nil, Elsewhere: nil, Broken: nil, Hung: nil, GivenUp: nil,
	} {
		h := newRolloutHarness(t, canaryGate(1))
		h.seedBaseline("chat")
		r := h.routeRequest("chat")
		r.Kind = Repeatable
		h.sent(h.arrive(r))
		var got []bool
		for _, a := range responsesIn(h.end(r.ID, outcome, false)) {
			require.False(t, a.AfterStart)
			require.True(t, a.Target)
			got = append(got, a.Bad)
		}
		require.Equal(t, want, got, outcome.String())
	}
}

// TestRolloutEvidenceOfFailures distinguishes a failure that is a whole response from one that
// ends a stream.
func TestRolloutEvidenceOfFailures(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(1))
	h.seedBaseline("chat")
	whole := h.routeRequest("chat")
	h.sent(h.arrive(whole))
	h.m.Update(FirstEventMsg{Now: h.now, ID: whole.ID})
	got := responsesIn(h.end(whole.ID, Failed, false))
	require.Len(t, got, 1)
	require.False(t, got[0].AfterStart)
	require.True(t, got[0].Bad)

	stream := h.routeRequest("chat")
	h.sent(h.arrive(stream))
	h.m.Update(FirstEventMsg{Now: h.now, ID: stream.ID})
	got = append(responsesIn(h.advance(TickInterval)), responsesIn(h.end(stream.ID, Failed, false))...)
	require.Len(t, got, 2)
	require.Equal(t, []bool{false, true}, []bool{got[0].Bad, got[1].Bad})
	require.Equal(t, []bool{false, true}, []bool{got[0].AfterStart, got[1].AfterStart})
}

// TestRolloutEvidenceOfSilence checks that a timeout counts as slow only if the server responds
// to other requests meanwhile.
func TestRolloutEvidenceOfSilence(t *testing.T) {
	for _, responding := range []bool{false, true} {
		h := newRolloutHarness(t, canaryGate(1))
		h.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(2, 1, "v2")})
		h.advance(2 * maxLapseGrace)
		silent, other := h.routeRequest("chat"), h.routeRequest("chat")
		h.sent(h.arrive(silent))
		h.sent(h.arrive(other))
		h.advance(time.Second)
		if responding {
			h.complete(other.ID)
		}
		got := responsesIn(h.end(silent.ID, Hung, false))
		require.Equal(t, responding, len(got) == 1 && got[0].Bad && !got[0].AfterStart)
	}
}

// TestRolloutEvidenceIgnoresColdAndNewServers checks that neither cold servers nor newly listed
// ones give evidence.
func TestRolloutEvidenceIgnoresColdAndNewServers(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(1))
	d := versionDirectory(2, 7, "v1", "v2")
	for i := range d.Servers {
		d.Servers[i].ColdFor = time.Minute
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	r := h.routeRequest("chat")
	h.sent(h.arrive(r))
	require.Empty(t, responsesIn(h.end(r.ID, Failed, false)), "cold servers")

	g := canaryGate(1)
	h = newRolloutHarness(t, g)
	h.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(2, 6, "v1", "v2", "v3")})
	g.Target = "v3"
	h.gate(g)
	r = h.routeRequest("chat")
	h.sent(h.arrive(r))
	require.Empty(t, responsesIn(h.end(r.ID, Failed, false)), "newly listed servers")
}

// TestRolloutEvidenceOnlyDuringRollout checks that there is no evidence without a rollout.
func TestRolloutEvidenceOnlyDuringRollout(t *testing.T) {
	h := newRolloutHarness(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	starts, later, old := h.streams(20, slowFactors{1, 1})
	require.Equal(t, []tally{{}, {}, {}}, []tally{starts, later, old})
}

// TestRolloutCohorts checks that cohorts are halls, and parts of the hall if the target version
// has servers in only one.
func TestRolloutCohorts(t *testing.T) {
	cohorts := func(h *harness) map[string]bool {
		out := make(map[string]bool)
		h.seedBaseline("chat")
		for range 200 {
			for _, a := range h.stream(h.routeRequest("chat"), slowFactors{1, 1}, 0) {
				if a.Target {
					out[a.Cohort] = true
				}
			}
		}
		return out
	}
	require.Equal(t, map[string]bool{"a": true, "b": true, "c": true}, cohorts(newRolloutHarness(t, canaryGate(1))))

	g := canaryGate(1)
	g.ServerFraction = 0.05
	h := newRolloutHarness(t, g)
	d := versionDirectory(2, 30, "v1", "v2")
	for i := range d.Servers {
		if d.Servers[i].Version == "v2" {
			d.Servers[i].Zone = "a"
		}
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	h.advance(2 * evidenceDelay)
	require.Len(t, h.canaryServerIDs(), minCanaryServers)
	require.Len(t, cohorts(h), cohortsPerHall)
}
