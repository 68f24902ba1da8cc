package direct

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newVersionHarness returns a harness with some servers of each version and no rollouts.
func newVersionHarness(t *testing.T, each int, versions ...string) *harness {
	h := newHarness(t, 0)
	h.list(versionDirectory(2, each, versions...))
	return h
}

func (h *harness) list(d Directory) []Cmd {
	return append([]Cmd(nil), h.m.Update(ServersMsg{Now: h.now, Directory: d})...)
}

// begin delivers a request and the first event of its stream, and returns the server's version.
func (h *harness) begin(r Request) string {
	c, ok := findCmd[SendCmd](h.arrive(r))
	require.True(h.t, ok)
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
	return c.Server.Version
}

// TestBrokenStreamGoesOnAtItsVersion guards against a stream that goes on, within one response, at
// another version than the one that began it.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for i := range 60 {
		h := newVersionHarness(t, 2, "v1", "v2", "v3")
		r := h.request("red", PromptPart{ID: uint64(i), Tokens: 100}, PromptPart{ID: uint64(i) << 32, Tokens: 100})
		version := h.begin(r)
		c, ok := findCmd[SendCmd](h.end(r.ID, Broken, true))
		require.True(t, ok)
		require.Equal(t, version, c.Server.Version)
	}
}

// TestRetryBeforeFirstEventMayChangeVersion verifies that a version binds a request only once its
// caller gets events.
func TestRetryBeforeFirstEventMayChangeVersion(t *testing.T) {
	h := newVersionHarness(t, 1, "v1", "v2")
	r := h.request("red")
	first, ok := findCmd[SendCmd](h.arrive(r))
	require.True(t, ok)
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID}) // a whole response that the caller does not get
	second, ok := findCmd[SendCmd](h.end(r.ID, Failed, true))
	require.True(t, ok)
	require.NotEqual(t, first.Server.Version, second.Server.Version)
}

// TestStreamWithoutItsVersionEndsAtOnce verifies that neither a broken stream nor one that its
// caller resumes waits for a version that has no server left.
func TestStreamWithoutItsVersionEndsAtOnce(t *testing.T) {
	h := newVersionHarness(t, 1, "v1", "v2")
	r := h.request("red")
	version := h.begin(r)
	failed, ok := findCmd[FailCmd](h.end(r.ID, Broken, true))
	require.True(t, ok)
	require.Equal(t, ReasonVersion, failed.Reason)

	h.list(versionDirectory(3, 1, map[string]string{"v1": "v2", "v2": "v1"}[version]))
	h.advance(h.m.lastResortDuration() + TickInterval)
	resumed := h.request("red")
	resumed.Version = version
	refused, ok := findCmd[RefuseCmd](h.arrive(resumed))
	require.True(t, ok)
	require.Equal(t, ReasonVersion, refused.Reason)
	require.Positive(t, refused.RetryAfter)
}

// TestStreamWaitsForItsVersion verifies that a stream that is resumed waits for a slot at its
// version while other versions have free ones, and is refused once its last server has gone.
func TestStreamWaitsForItsVersion(t *testing.T) {
	h := newVersionHarness(t, 1, "v1", "v2")
	var running []RequestID
	for range 48 {
		r := h.request("red")
		r.Version, r.PromptTokens = "v1", 10
		require.Equal(t, "v1-0", h.sent(h.arrive(r)))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
		running = append(running, r.ID)
	}
	waiting := h.request("red")
	waiting.Version, waiting.PromptTokens = "v1", 10
	require.Empty(t, h.arrive(waiting))
	c, ok := findCmd[SendCmd](h.end(running[0], Done, false))
	require.True(t, ok)
	require.Equal(t, waiting.ID, c.ID)

	late := h.request("red")
	late.Version, late.PromptTokens = "v1", 10
	require.Empty(t, h.arrive(late))
	refused, ok := findCmd[RefuseCmd](h.list(versionDirectory(3, 1, "v2")))
	require.True(t, ok)
	require.Equal(t, late.ID, refused.ID)
	require.Equal(t, ReasonVersion, refused.Reason)
}

// TestLeavingServersOfOneVersionAreItsLastResort verifies that a stream goes on at a leaving server
// if its version has no other, though servers of other versions stay.
func TestLeavingServersOfOneVersionAreItsLastResort(t *testing.T) {
	h := newVersionHarness(t, 1, "v1", "v2")
	d := versionDirectory(3, 1, "v1", "v2")
	d.Servers[0].Draining = true
	h.list(d)
	fresh := h.request("red")
	require.Equal(t, "v2-0", h.sent(h.arrive(fresh)))
	resumed := h.request("red")
	resumed.Version = "v1"
	require.Equal(t, "v1-0", h.sent(h.arrive(resumed)))
	h.advance(h.m.lastResortDuration() + TickInterval)
	late := h.request("red")
	late.Version = "v1"
	_, ok := findCmd[RefuseCmd](h.arrive(late))
	require.True(t, ok)
}

// TestRolloutStreamsStayAtTheirVersion verifies that streams of old servers go on there at every
// stage of a rollout, and those of the target only while it gets requests.
func TestRolloutStreamsStayAtTheirVersion(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0.5))
	closed := canaryGate(1)
	closed.OldClosed = true
	completed := canaryGate(0)
	completed.InUse, completed.Target = []string{"v2"}, ""
	rejected := canaryGate(0)
	rejected.Target = ""
	for _, stage := range []struct {
		name     string
		apply    func()
		old, new bool
	}{
		{"half", func() {}, true, true},
		{"old versions closed", func() { h.gate(closed) }, true, true},
		{"completed", func() { h.gate(completed) }, false, true},
		{"rejected", func() { h.gate(rejected) }, true, false},
	} {
		stage.apply()
		for version, goesOn := range map[string]bool{"v1": stage.old, "v2": stage.new} {
			r := h.routeRequest("chat")
			r.Version = version
			cmds := h.arrive(r)
			if !goesOn {
				refused, ok := findCmd[RefuseCmd](cmds)
				require.True(t, ok, "%s: %s", stage.name, version)
				require.Equal(t, ReasonVersion, refused.Reason)
				continue
			}
			c, ok := findCmd[SendCmd](cmds)
			require.True(t, ok, "%s: %s", stage.name, version)
			require.Equal(t, version, c.Server.Version)
			h.complete(r.ID)
		}
	}
}

// TestVersionsNeverMix checks over random histories, in which servers of three versions come, go
// and come back, that a stream that has begun is sent only to servers of its version.
func TestVersionsNeverMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(Options{Zone: "a", RetryBudget: RetryBudgetOptions{Ratio: 1, Slack: 1000, Window: 10 * time.Second}})
		now, revision, lastID := time.Second, uint64(0), RequestID(0)
		begun, at := make(map[RequestID]string), make(map[RequestID]string)
		update := func(msg Msg) {
			for _, c := range m.Update(msg) {
				if c, ok := c.(SendCmd); ok {
					if begun[c.ID] != "" {
						require.Equal(t, begun[c.ID], c.Server.Version)
					}
					at[c.ID] = c.Server.Version
				}
			}
		}
		update(ConfigMsg{Now: now, Config: Config{Version: 1, Limits: Limits{TokensPerSecond: 1e6}, Services: []Service{{Name: "llm", Engine: &Engine{Slots: 4, KVTokens: 100000}}}}})
		versions := []string{"v1", "v2", "v3"}
		drawRunning := func() (RequestID, bool) {
			if len(at) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(slices.Sorted(maps.Keys(at))).Draw(t, "request"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				revision++
				d := Directory{Revision: revision}
				for _, version := range versions {
					for i := range rapid.IntRange(0, 3).Draw(t, "servers") {
						d.Servers = append(d.Servers, Server{ID: fmt.Sprint(version, "-", i), Service: "llm", Zone: "a", Version: version, Slots: 4, Draining: rapid.IntRange(0, 3).Draw(t, "draining") == 0})
					}
				}
				update(ServersMsg{Now: now, Directory: d})
			},
			"arrive": func(t *rapid.T) {
				lastID++
				begun[lastID] = rapid.SampledFrom([]string{"", "", "v1", "v2", "v3", "other"}).Draw(t, "version")
				update(RequestMsg{Now: now, Request: Request{
					ID: lastID, Team: "red", Service: "llm", Kind: Stream, MayRepeat: true, Attempts: 4, Version: begun[lastID],
					Objective: 300 * time.Millisecond, Deadline: now + 5*time.Second, PromptTokens: 600, OutputTokens: 50,
				}})
			},
			"backup": func(t *rapid.T) {
				of, ok := drawRunning()
				if !ok {
					return
				}
				lastID++
				begun[lastID] = begun[of]
				update(BackupMsg{Now: now, ID: lastID, Of: of})
				if _, sent := at[lastID]; sent && rapid.Bool().Draw(t, "takes over") {
					update(TakeOverMsg{Now: now, ID: lastID, Outcome: Hung})
					delete(at, of)
				}
			},
			"first": func(t *rapid.T) {
				if id, ok := drawRunning(); ok {
					begun[id] = at[id]
					update(FirstEventMsg{Now: now, ID: id, Streaming: true})
				}
			},
			"end": func(t *rapid.T) {
				if id, ok := drawRunning(); ok {
					delete(at, id)
					o := rapid.SampledFrom([]Outcome{Done, Unsent, NotRun, Elsewhere, Failed, Broken, Hung}).Draw(t, "outcome")
					update(AttemptEndMsg{Now: now, ID: id, Outcome: o, Retry: o != Done})
				}
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * TickInterval
				update(TickMsg{Now: now})
			},
		})
	})
}

// TestEjectedServersOfOneVersionAreItsLastResort verifies that a stream that has begun goes on at an
// ejected server if its version has no other, while new requests go to other versions.
func TestEjectedServersOfOneVersionAreItsLastResort(t *testing.T) {
	h := newVersionHarness(t, 2, "v1", "v2")
	for _, s := range h.m.byServer {
		if s.Version == "v1" {
			s.eject(h.now)
		}
	}
	resumed := h.request("red")
	resumed.Version = "v1"
	c, ok := findCmd[SendCmd](h.arrive(resumed))
	require.True(t, ok)
	require.Equal(t, "v1", c.Server.Version)
	c, ok = findCmd[SendCmd](h.arrive(h.request("red")))
	require.True(t, ok)
	require.Equal(t, "v2", c.Server.Version)
}

// TestResumedStreamIsAdmittedLikeARetry verifies that a team which has used up its tokens can still
// have its streams continued, and that these are not queued behind new requests.
func TestResumedStreamIsAdmittedLikeARetry(t *testing.T) {
	h := newVersionHarness(t, 2, "v1", "v2")
	h.m.team("red").tokenBucket = tokenBucket{rate: 1000, tokens: -1e9}
	h.m.teamLimits = teamLimits{baseLevel: 1000, level: 1000, evenCap: 1000}
	request := func(resumed bool) Request {
		r := h.request("red")
		r.Version, r.Resumed, r.Age = "v1", resumed, 10*time.Second
		return r
	}
	_, throttled := findCmd[RefuseCmd](h.arrive(request(false)))
	require.True(t, throttled)
	_, throttled = findCmd[RefuseCmd](h.m.Update(AdmissionCheckMsg{Now: h.now, Request: request(true)}))
	require.False(t, throttled)
	require.Contains(t, []string{"v1-0", "v1-1"}, h.sent(h.arrive(request(true))))
	require.False(t, h.m.newRequestState(h.now, request(true)).late)
	require.True(t, h.m.newRequestState(h.now, request(false)).late)
}

// TestStreamsAvoidTheLastServerOfAVersion verifies that streams begin at versions with several
// servers, where these are as good, and other requests wherever they would.
func TestStreamsAvoidTheLastServerOfAVersion(t *testing.T) {
	h := newHarness(t, 0)
	d := versionDirectory(2, 4, "v1")
	last := versionDirectory(2, 1, "v2").Servers[0]
	d.Servers = append(d.Servers, last)
	h.list(d)
	begun := func(repeatable bool) int {
		n := 0
		for range 200 {
			r := h.request("red")
			r.MayRepeat = repeatable
			if h.sent(h.arrive(r)) == last.ID {
				n++
			}
			h.complete(r.ID)
			h.advance(TickInterval)
		}
		return n
	}
	require.Zero(t, begun(true))
	require.Positive(t, begun(false))

	d.Revision++
	d.Servers = append(d.Servers, Server{ID: "v2-1", Service: "llm", Zone: "a", Version: "v2", Slots: 48})
	h.list(d)
	require.Positive(t, begun(true))
}

// TestResumedStreamsAreServedFirst verifies that a stream that is resumed goes before new requests
// that wait for a slot of the same server.
func TestResumedStreamsAreServedFirst(t *testing.T) {
	h := newVersionHarness(t, 1, "v1")
	var running []RequestID
	for range 48 {
		r := h.request("red")
		r.PromptTokens = 10
		h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
		running = append(running, r.ID)
	}
	fresh := h.request("red")
	fresh.PromptTokens, fresh.Priority = 10, 0
	require.Empty(t, h.arrive(fresh))
	resumed := h.request("red")
	resumed.PromptTokens, resumed.Version, resumed.Resumed = 10, "v1", true
	require.Empty(t, h.arrive(resumed))
	c, ok := findCmd[SendCmd](h.end(running[0], Done, false))
	require.True(t, ok)
	require.Equal(t, resumed.ID, c.ID)
}
