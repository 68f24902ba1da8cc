package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// regionOracle holds the rules of allowed regions against a machine. It keeps its own plain
// lists of what is allowed, and which data hall lies where.
type regionSim struct {
	t        *rapid.T
	m        *Machine
	now      time.Duration
	revision uint64
	halls    map[string]string   // region by hall; none: unknown
	teams    map[string][]string // the regions that the configuration binds teams to
	requests map[RequestID]*regionRequest
	next     RequestID
}

// regionRequest is what the oracle knows of a request that has not ended.
type regionRequest struct {
	route, team []string
	sent        bool // and runs at the moment
}

// allows tells whether a request may be served in a region.
func (r *regionRequest) allows(region string) bool {
	for _, list := range [][]string{r.route, r.team} {
		if len(list) > 0 && (region == "" || !slices.Contains(list, region)) {
			return false
		}
	}
	return true
}

func (r *regionRequest) restricted() bool { return len(r.route)+len(r.team) > 0 }

// TestRegionRules plays random days against the machine: no request leaves its regions,
// and none waits for servers that are not there. By hand:
// go test ./direct -run TestRegionRules -rapid.checks=10000 -rapid.steps=100
func TestRegionRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &regionSim{
			t: t, now: 3 * time.Second, requests: make(map[RequestID]*regionRequest),
			halls: map[string]string{"a": "east", "b": "east", "c": "west"},
		}
		o.m = NewMachine(Options{
			Zone: "a", Region: "east", HallRegions: o.halls, RetryBudget: RetryBudgetOptions{Ratio: 1, Slack: 50, Window: 10 * time.Second},
		})
		o.configure()
		o.list()
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    func(*rapid.T) { o.arrive() },
			"first":     func(*rapid.T) { o.first() },
			"end":       func(*rapid.T) { o.end() },
			"tick":      func(*rapid.T) { o.tick(rapid.IntRange(1, 20).Draw(o.t, "ticks")) },
			"list":      func(*rapid.T) { o.list() },
			"evacuate":  func(*rapid.T) { o.evacuate() },
			"configure": func(*rapid.T) { o.configure() },
			"halls":     func(*rapid.T) { o.moveHalls() },
		})
	})
}

func (o *regionSim) update(msg Msg) {
	for _, c := range o.m.Update(msg) {
		switch c := c.(type) {
		case SendCmd:
			r := o.requests[c.ID]
			require.True(o.t, r.allows(o.halls[c.Server.Zone]), "%v left its regions for %s", r, c.Server.Zone)
			r.sent = true
		case RefuseCmd:
			o.refused(c.ID, c.Reason)
		case FailCmd:
			o.refused(c.ID, c.Reason)
		}
	}
}

func (o *regionSim) refused(id RequestID, reason Reason) {
	if reason == ReasonRegion {
		require.True(o.t, o.requests[id].restricted(), "nothing binds it")
		require.False(o.t, o.hasServer(o.requests[id]), "a server of its regions may get it")
	}
	delete(o.requests, id)
}

// served tells whether some server of a request's regions may get requests.
func (o *regionSim) hasServer(r *regionRequest) bool {
	return slices.ContainsFunc(o.m.Servers(o.now), func(s ServerState) bool {
		return s.Usable && r.allows(o.halls[s.Zone])
	})
}

func (o *regionSim) regions(label string) []string {
	return rapid.SampledFrom([][]string{nil, nil, {"east"}, {"west"}, {"west", "east"}, {"north"}}).Draw(o.t, label)
}

// configure binds teams, or loosens them.
func (o *regionSim) configure() {
	config := Config{
		Limits:   Limits{TokensPerSecond: 50_000},
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 4, KVTokens: 100_000}, Cold: ColdLimit{PerSecond: 5, Lasts: time.Second}}},
	}
	o.teams = make(map[string][]string)
	for _, team := range []string{"red", "blue", "green"} {
		o.teams[team] = o.regions("team")
		config.Teams = append(config.Teams, Team{Name: team, Regions: o.teams[team]})
	}
	o.update(ConfigMsg{Now: o.now, Config: config})
}

// list lists servers of some halls, some of them draining or cold.
func (o *regionSim) list() {
	o.revision++
	d := Directory{Revision: o.revision}
	for _, hall := range []string{"a", "b", "c", "d"} {
		for i := range rapid.IntRange(0, 2).Draw(o.t, "servers") {
			d.Servers = append(d.Servers, Server{
				ID: fmt.Sprint(hall, i), Service: "llm", Zone: hall, Slots: 4,
				Draining: rapid.IntRange(0, 4).Draw(o.t, "draining") == 0,
				ColdFor:  time.Duration(rapid.IntRange(0, 1).Draw(o.t, "cold")) * time.Second,
			})
		}
	}
	o.update(ServersMsg{Now: o.now, Directory: d})
}

func (o *regionSim) evacuate() {
	o.revision++
	halls := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 2, rapid.ID).Draw(o.t, "evacuated")
	o.update(EvacuationsMsg{Now: o.now, Evacuations: Evacuations{Revision: o.revision, Halls: halls}})
}

// moveHalls brings settings that know more halls, or fewer.
func (o *regionSim) moveHalls() {
	o.halls = make(map[string]string)
	for _, hall := range []string{"a", "b", "c", "d"} {
		if region := rapid.SampledFrom([]string{"", "east", "west"}).Draw(o.t, "region"); region != "" {
			o.halls[hall] = region
		}
	}
	o.update(HallRegionsMsg{Now: o.now, Halls: o.halls})
}

func (o *regionSim) arrive() {
	o.next++
	team := rapid.SampledFrom([]string{"red", "blue", "green"}).Draw(o.t, "who")
	r := &regionRequest{route: o.regions("route"), team: o.teams[team]}
	o.requests[o.next] = r
	o.update(RequestMsg{Now: o.now, Request: Request{
		ID: o.next, Team: team, Service: "llm", Kind: Stream, Regions: RegionsOf(r.route, r.team),
		MayRepeat: rapid.Bool().Draw(o.t, "repeat"), Attempts: rapid.IntRange(1, 4).Draw(o.t, "attempts"),
		Objective: 300 * time.Millisecond, Deadline: o.now + 5*time.Second,
		PromptTokens: rapid.IntRange(1, 20_000).Draw(o.t, "tokens"), OutputTokens: 50,
		Parts: []PromptPart{{ID: uint64(rapid.IntRange(1, 9).Draw(o.t, "part")), Tokens: 500}, {ID: uint64(o.next) + 100, Tokens: 10}},
	}})
}

// running returns the requests that run, in order.
func (o *regionSim) running() []RequestID {
	var out []RequestID
	for id, r := range o.requests {
		if r.sent {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (o *regionSim) first() {
	if running := o.running(); len(running) > 0 {
		o.update(FirstEventMsg{Now: o.now, ID: rapid.SampledFrom(running).Draw(o.t, "first")})
	}
}

func (o *regionSim) end() {
	running := o.running()
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(o.t, "ended")
	outcome := Outcome(rapid.IntRange(int(Done), int(GivenUp)).Draw(o.t, "outcome"))
	retry := outcome != Done && outcome != GivenUp
	if o.requests[id].sent = false; !retry {
		delete(o.requests, id)
	}
	o.update(AttemptEndMsg{Now: o.now, ID: id, Outcome: outcome, Retry: retry})
}

// tick lets time pass. No bound request waits afterwards for servers that are not there.
func (o *regionSim) tick(n int) {
	for range n {
		o.now += TickInterval
		o.update(TickMsg{Now: o.now})
		for id, r := range o.requests {
			if r.restricted() && !r.sent {
				require.True(o.t, o.hasServer(r), "request %d waits in vain", id)
			}
		}
	}
}
