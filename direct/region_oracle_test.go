package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// regionSim checks a machine against the rules of allowed regions. It keeps its own lists of
// allowed regions and of the regions of data halls.
type regionSim struct {
	t        *rapid.T
	m        *Machine
	now      time.Duration
	revision uint64
	halls    map[string]string   // region by hall; an unknown region has no entry
	teams    map[string][]string // allowed regions of each team
	requests map[RequestID]*regionRequest
	lastID   RequestID
}

// regionRequest is the state of a request that has not ended.
type regionRequest struct {
	route, team []string
	sent        bool // running at a server
}

// allows reports whether a request may be served in a region.
func (r *regionRequest) allows(region string) bool {
	for _, list := range [][]string{r.route, r.team} {
		if len(list) > 0 && (region == "" || !slices.Contains(list, region)) {
			return false
		}
	}
	return true
}

func (r *regionRequest) restricted() bool { return len(r.route)+len(r.team) > 0 }

// TestRegionRules runs random histories: no request leaves its regions, and none waits for
// servers that don't exist. For a longer run:
//
//	go test ./direct -run TestRegionRules -rapid.checks=10000 -rapid.steps=100
func TestRegionRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &regionSim{
			t: t, now: 3 * time.Second, requests: make(map[RequestID]*regionRequest),
			halls: map[string]string{"a": "east", "b": "east", "c": "west"},
		}
		sim.m = NewMachine(Options{
			Zone: "a", Region: "east", HallRegions: sim.halls, RetryBudget: RetryBudgetOptions{Ratio: 1, Slack: 50, Window: 10 * time.Second},
		})
		sim.configure()
		sim.list()
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    func(*rapid.T) { sim.arrive() },
			"first":     func(*rapid.T) { sim.first() },
			"end":       func(*rapid.T) { sim.end() },
			"tick":      func(*rapid.T) { sim.tick(rapid.IntRange(1, 20).Draw(sim.t, "ticks")) },
			"list":      func(*rapid.T) { sim.list() },
			"evacuate":  func(*rapid.T) { sim.evacuate() },
			"configure": func(*rapid.T) { sim.configure() },
			"halls":     func(*rapid.T) { sim.moveHalls() },
		})
	})
}

func (sim *regionSim) update(msg Msg) {
	for _, c := range sim.m.Update(msg) {
		switch c := c.(type) {
		case SendCmd:
			r := sim.requests[c.ID]
			require.True(sim.t, r.allows(sim.halls[c.Server.Zone]), "%v was sent outside its regions to hall %s", r, c.Server.Zone)
			r.sent = true
		case RefuseCmd:
			sim.refused(c.ID, c.Reason)
		case FailCmd:
			sim.refused(c.ID, c.Reason)
		}
	}
}

func (sim *regionSim) refused(id RequestID, reason Reason) {
	if reason == ReasonRegion {
		require.True(sim.t, sim.requests[id].restricted(), "refused because of regions, but not restricted")
		require.False(sim.t, sim.hasServer(sim.requests[id]), "refused, but its regions have a usable server")
	}
	delete(sim.requests, id)
}

// hasServer reports whether some server of a request's regions may get requests.
func (sim *regionSim) hasServer(r *regionRequest) bool {
	return slices.ContainsFunc(sim.m.Servers(sim.now), func(s ServerState) bool {
		return s.Usable && r.allows(sim.halls[s.Zone])
	})
}

func (sim *regionSim) regions(label string) []string {
	return rapid.SampledFrom([][]string{nil, nil, {"east"}, {"west"}, {"west", "east"}, {"north"}}).Draw(sim.t, label)
}

// configure draws new regions for all teams.
func (sim *regionSim) configure() {
	config := Config{
		Limits:   Limits{TokensPerSecond: 50_000},
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 4, KVTokens: 100_000}, Cold: ColdLimit{PerSecond: 5, Lasts: time.Second}}},
	}
	sim.teams = make(map[string][]string)
	for _, team := range []string{"red", "blue", "green"} {
		sim.teams[team] = sim.regions("team")
		config.Teams = append(config.Teams, Team{Name: team, Regions: sim.teams[team]})
	}
	sim.update(ConfigMsg{Now: sim.now, Config: config})
}

// list applies a list of servers in some halls, some of them draining or cold.
func (sim *regionSim) list() {
	sim.revision++
	d := Directory{Revision: sim.revision}
	for _, hall := range []string{"a", "b", "c", "d"} {
		for i := range rapid.IntRange(0, 2).Draw(sim.t, "servers") {
			d.Servers = append(d.Servers, Server{
				ID: fmt.Sprint(hall, i), Service: "llm", Zone: hall, Slots: 4,
				Draining: rapid.IntRange(0, 4).Draw(sim.t, "draining") == 0,
				ColdFor:  time.Duration(rapid.IntRange(0, 1).Draw(sim.t, "cold")) * time.Second,
			})
		}
	}
	sim.update(ServersMsg{Now: sim.now, Directory: d})
}

func (sim *regionSim) evacuate() {
	sim.revision++
	halls := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 2, rapid.ID).Draw(sim.t, "evacuated")
	sim.update(EvacuationsMsg{Now: sim.now, Evacuations: Evacuations{Revision: sim.revision, Halls: halls}})
}

// moveHalls draws new regions for all halls; some get none.
func (sim *regionSim) moveHalls() {
	sim.halls = make(map[string]string)
	for _, hall := range []string{"a", "b", "c", "d"} {
		if region := rapid.SampledFrom([]string{"", "east", "west"}).Draw(sim.t, "region"); region != "" {
			sim.halls[hall] = region
		}
	}
	sim.update(HallRegionsMsg{Now: sim.now, Halls: sim.halls})
}

func (sim *regionSim) arrive() {
	sim.lastID++
	team := rapid.SampledFrom([]string{"red", "blue", "green"}).Draw(sim.t, "who")
	r := &regionRequest{route: sim.regions("route"), team: sim.teams[team]}
	sim.requests[sim.lastID] = r
	sim.update(RequestMsg{Now: sim.now, Request: Request{
		ID: sim.lastID, Team: team, Service: "llm", Kind: Stream, Regions: RegionsOf(r.route, r.team),
		MayRepeat: rapid.Bool().Draw(sim.t, "repeat"), Attempts: rapid.IntRange(1, 4).Draw(sim.t, "attempts"),
		Objective: 300 * time.Millisecond, Deadline: sim.now + 5*time.Second,
		PromptTokens: rapid.IntRange(1, 20_000).Draw(sim.t, "tokens"), OutputTokens: 50,
		Parts: []PromptPart{{ID: uint64(rapid.IntRange(1, 9).Draw(sim.t, "part")), Tokens: 500}, {ID: uint64(sim.lastID) + 100, Tokens: 10}},
	}})
}

// running returns the running requests in order.
func (sim *regionSim) running() []RequestID {
	var out []RequestID
	for id, r := range sim.requests {
		if r.sent {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (sim *regionSim) first() {
	if running := sim.running(); len(running) > 0 {
		sim.update(FirstEventMsg{Now: sim.now, ID: rapid.SampledFrom(running).Draw(sim.t, "first")})
	}
}

func (sim *regionSim) end() {
	running := sim.running()
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(sim.t, "ended")
	outcome := Outcome(rapid.IntRange(int(Done), int(GivenUp)).Draw(sim.t, "outcome"))
	retry := outcome != Done && outcome != GivenUp
	if sim.requests[id].sent = false; !retry {
		delete(sim.requests, id)
	}
	sim.update(AttemptEndMsg{Now: sim.now, ID: id, Outcome: outcome, Retry: retry})
}

// tick advances time and checks that no restricted request waits for servers that don't exist.
func (sim *regionSim) tick(n int) {
	for range n {
		sim.now += TickInterval
		sim.update(TickMsg{Now: sim.now})
		for id, r := range sim.requests {
			if r.restricted() && !r.sent {
				require.True(sim.t, sim.hasServer(r), "request %d is queued without a usable server", id)
			}
		}
	}
}
