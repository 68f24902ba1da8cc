package direct

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// answers returns what commands say of versions.
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

// speeds says how many times slower than usual servers read and write.
type slowFactors struct{ old, target float64 }

// stream runs one request to its end at a server that reads 60 tokens a millisecond and
// writes one token in 5, times its slowness, and returns the evidence.
func (b *harness) stream(r Request, slow slowFactors, uncached int) []rollout.ResponseMsg {
	cmds := b.arrive(r)
	c, ok := findCmd[SendCmd](cmds)
	require.True(b.t, ok)
	times, read := slow.old, r.ownTokens()
	if c.PlacementBasis.Target {
		times = slow.target
		read += uncached
	}
	b.now += milliseconds(times * (10 + float64(read)/60))
	cmds = append(cmds, b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})...)
	cmds = append(cmds, b.advance(milliseconds(times*5*float64(r.OutputTokens)))...)
	return responsesIn(append(cmds, b.end(r.ID, Done, false)...))
}

// streams runs requests one after the other and counts the evidence on the target.
func (b *harness) streams(n int, slow slowFactors) (begun, later, old tally) {
	for range n {
		for _, a := range b.stream(b.routeRequest("chat"), slow, 0) {
			switch {
			case !a.Target:
				old.add(a.Bad)
			case a.AfterStart:
				later.add(a.Bad)
			default:
				begun.add(a.Bad)
			}
		}
	}
	return begun, later, old
}

// TestRolloutEvidenceOfSlowVersions speaks against a target that is four times slower, and
// not where old and new servers are slow alike.
func TestRolloutEvidenceOfSlowVersions(t *testing.T) {
	b := newRolloutBench(t, canaryGate(0.5))
	_, _, old := b.streams(60, slowFactors{1, 1})
	require.Zero(t, old.bad)
	begun, later, old := b.streams(100, slowFactors{1, 4})
	require.Zero(t, begun.good)
	require.Zero(t, later.good)
	require.Greater(t, begun.bad, 30)
	require.Equal(t, begun.bad, later.bad)
	require.Zero(t, old.bad)

	b = newRolloutBench(t, canaryGate(0.5))
	b.streams(60, slowFactors{1, 1})
	b.streams(200, slowFactors{4, 4})
	begun, later, _ = b.streams(100, slowFactors{4, 4})
	require.Greater(t, begun.good, 30)
	require.Zero(t, begun.bad)
	require.Zero(t, later.bad)
}

// TestRolloutEvidenceOfSlowPlainServers speaks against plain servers of the target that
// are four times slower, and not against those that are as fast.
func TestRolloutEvidenceOfSlowPlainServers(t *testing.T) {
	for _, times := range []time.Duration{1, 4} {
		g := canaryGate(0.5)
		g.Service = "app"
		b := newRolloutBench(t, g)
		d := versionDirectory(2, 6, "v1", "v2")
		for i := range d.Servers {
			d.Servers[i].Service = "app"
			d.Servers[i].ID += "-app"
		}
		b.m.Update(ServersMsg{Now: b.now, Directory: d})
		b.advance(2 * evidenceDelay)
		var got tally
		for range 200 {
			r := b.routeRequest("stock")
			r.Service, r.Kind = "app", AtMostOnce
			c, ok := findCmd[SendCmd](b.arrive(r))
			require.True(t, ok)
			took := 60 * time.Millisecond
			if c.PlacementBasis.Target {
				took *= times
			}
			b.now += took
			for _, a := range responsesIn(b.complete(r.ID)) {
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

// TestRolloutEvidenceAllowsForReading does not speak against servers that must read anew
// what old ones keep.
func TestRolloutEvidenceAllowsForReading(t *testing.T) {
	const shared = 12000
	b := newRolloutBench(t, canaryGate(0))
	request := func(i int) Request {
		r := b.request("red", PromptPart{ID: uint64(i + 1), Tokens: shared}, PromptPart{ID: uint64(b.lastID) << 32, Tokens: 500})
		r.PromptTokens = shared + 500
		return r
	}
	for range 3 {
		for i := range 30 {
			b.stream(request(i), slowFactors{1, 1}, 0)
		}
	}
	b.gate(canaryGate(1))
	var target tally
	for i := range 30 {
		for _, a := range b.stream(request(i), slowFactors{1, 1}, shared) {
			target.add(a.Bad)
		}
	}
	require.Equal(t, tally{good: 60}, target)
}

// rateOld lets the router know how fast old servers answer a route.
func (b *harness) seedBaseline(route string) {
	pace := b.m.pool("llm").baseline.routes.get(route)
	for range baselineMinResponses {
		pace.delayRatio.add(1, minFirstEventMS)
		pace.tokenMS.add(5, minTokenMS)
	}
}

// TestRolloutEvidenceOfUnknownSpeed has the target answer where no old server's speed is known: its
// successes say nothing, or a slow version would pass for a good one, and each failure counts
// beside them, or a good version with few failures would pass for a bad one.
func TestRolloutEvidenceOfUnknownSpeed(t *testing.T) {
	b := newRolloutBench(t, canaryGate(1))
	attempt := func(o Outcome) (good, bad int) {
		r := b.routeRequest("chat")
		r.Kind = Repeatable
		b.sent(b.arrive(r))
		for _, a := range responsesIn(b.end(r.ID, o, false)) {
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
	require.Zero(t, good, "told once")
}

// TestRolloutEvidenceOfOutcomes says which outcomes speak for or against a version.
func TestRolloutEvidenceOfOutcomes(t *testing.T) {
	for outcome, want := range map[Outcome][]bool{
		Done: {false}, Failed: {true}, Unsent: nil, NotRun: nil, Elsewhere: nil, Broken: nil, Hung: nil, GivenUp: nil, Moved: nil,
	} {
		b := newRolloutBench(t, canaryGate(1))
		b.seedBaseline("chat")
		r := b.routeRequest("chat")
		r.Kind = Repeatable
		b.sent(b.arrive(r))
		var got []bool
		for _, a := range responsesIn(b.end(r.ID, outcome, false)) {
			require.False(t, a.AfterStart)
			require.True(t, a.Target)
			got = append(got, a.Bad)
		}
		require.Equal(t, want, got, outcome.String())
	}
}

// TestRolloutEvidenceOfFailures tells a failure that comes as a whole answer from one
// that ends a stream.
func TestRolloutEvidenceOfFailures(t *testing.T) {
	b := newRolloutBench(t, canaryGate(1))
	b.seedBaseline("chat")
	whole := b.routeRequest("chat")
	b.sent(b.arrive(whole))
	b.m.Update(FirstEventMsg{Now: b.now, ID: whole.ID})
	got := responsesIn(b.end(whole.ID, Failed, false))
	require.Len(t, got, 1)
	require.False(t, got[0].AfterStart)
	require.True(t, got[0].Bad)

	stream := b.routeRequest("chat")
	b.sent(b.arrive(stream))
	b.m.Update(FirstEventMsg{Now: b.now, ID: stream.ID})
	got = append(responsesIn(b.advance(TickInterval)), responsesIn(b.end(stream.ID, Failed, false))...)
	require.Len(t, got, 2)
	require.Equal(t, []bool{false, true}, []bool{got[0].Bad, got[1].Bad})
	require.Equal(t, []bool{false, true}, []bool{got[0].AfterStart, got[1].AfterStart})
}

// TestRolloutEvidenceOfSilence counts a silence as slow only where the server answers
// others meanwhile.
func TestRolloutEvidenceOfSilence(t *testing.T) {
	for _, answering := range []bool{false, true} {
		b := newRolloutBench(t, canaryGate(1))
		b.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(2, 1, "v2")})
		b.advance(2 * maxLapseGrace)
		silent, other := b.routeRequest("chat"), b.routeRequest("chat")
		b.sent(b.arrive(silent))
		b.sent(b.arrive(other))
		b.advance(time.Second)
		if answering {
			b.complete(other.ID)
		}
		got := responsesIn(b.end(silent.ID, Hung, false))
		require.Equal(t, answering, len(got) == 1 && got[0].Bad && !got[0].AfterStart)
	}
}

// TestRolloutEvidenceOfUnsettledServers takes nothing from cold servers and from those
// that are new.
func TestRolloutEvidenceIgnoresColdAndNewServers(t *testing.T) {
	b := newRolloutBench(t, canaryGate(1))
	d := versionDirectory(2, 7, "v1", "v2")
	for i := range d.Servers {
		d.Servers[i].ColdFor = time.Minute
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	r := b.routeRequest("chat")
	b.sent(b.arrive(r))
	require.Empty(t, responsesIn(b.end(r.ID, Failed, false)), "cold")

	g := canaryGate(1)
	b = newRolloutBench(t, g)
	b.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(2, 6, "v1", "v2", "v3")})
	g.Target = "v3"
	b.gate(g)
	r = b.routeRequest("chat")
	b.sent(b.arrive(r))
	require.Empty(t, responsesIn(b.end(r.ID, Failed, false)), "new")
}

// TestRolloutEvidenceOnlyUnderWay says nothing while no service moves.
func TestRolloutEvidenceOnlyDuringRollout(t *testing.T) {
	b := newRolloutBench(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	begun, later, old := b.streams(20, slowFactors{1, 1})
	require.Equal(t, []tally{{}, {}, {}}, []tally{begun, later, old})
}

// TestRolloutCohorts are the halls; where the target is in one hall only, its servers
// are told apart.
func TestRolloutCohorts(t *testing.T) {
	cohorts := func(b *harness) map[string]bool {
		out := make(map[string]bool)
		b.seedBaseline("chat")
		for range 200 {
			for _, a := range b.stream(b.routeRequest("chat"), slowFactors{1, 1}, 0) {
				if a.Target {
					out[a.Cohort] = true
				}
			}
		}
		return out
	}
	require.Equal(t, map[string]bool{"a": true, "b": true, "c": true}, cohorts(newRolloutBench(t, canaryGate(1))))

	g := canaryGate(1)
	g.ServerFraction = 0.05
	b := newRolloutBench(t, g)
	d := versionDirectory(2, 30, "v1", "v2")
	for i := range d.Servers {
		if d.Servers[i].Version == "v2" {
			d.Servers[i].Zone = "a"
		}
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	b.advance(2 * evidenceDelay)
	require.Len(t, b.canaryServerIDs(), minCanaryServers)
	require.Len(t, cohorts(b), cohortsPerHall)
}
