package direct

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// configSim feeds a machine with configurations of every kind among all other messages. It knows of
// each request whether it waits, runs or has ended.
type configSim struct {
	t        *rapid.T
	m        *Machine
	now      time.Duration
	revision uint64
	lastID   RequestID
	requests map[RequestID]*simulatedRequest
}

// simulatedRequest is the simulation's own state of a request or of a backup.
type simulatedRequest struct {
	Request
	state  simulatedState
	server string
	sentAt time.Duration
	backup RequestID // that runs for it; 0: none
	of     RequestID // the request that it backs up; 0: it is none
	// waitingSince is the start of the current wait.
	waitingSince time.Duration
}

type simulatedState uint8

const (
	simWaiting simulatedState = iota
	simRunning
	simEnded
)

// TestConfigurationsForgetNoRequest checks under random messages, with configurations of every kind among
// them, that nothing panics, that each request has exactly one end, and that none is forgotten. For a
// longer run:
//
//	go test ./direct -run TestConfigurationsForgetNoRequest -rapid.checks=10000 -rapid.steps=100
func TestConfigurationsForgetNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &configSim{t: t, now: time.Second, requests: make(map[RequestID]*simulatedRequest)}
		s.m = NewMachine(Options{
			Zone: "a", Region: "eu", HallRegions: map[string]string{"a": "eu", "b": "us"}, Gated: rapid.Bool().Draw(t, "gated"),
			RetryBudget: RetryBudgetOptions{Ratio: 0.5, Slack: 20, Window: 10 * time.Second},
		})
		s.configure()
		s.list()
		t.Repeat(map[string]func(*rapid.T){
			"configure":    func(*rapid.T) { s.configure() },
			"list":         func(*rapid.T) { s.list() },
			"gate":         func(*rapid.T) { s.gate() },
			"settings":     func(*rapid.T) { s.changeSettings() },
			"peers":        func(*rapid.T) { s.hearPeers() },
			"arrive":       func(*rapid.T) { s.arrive() },
			"arrive again": func(*rapid.T) { s.arrive() },
			"check":        func(*rapid.T) { s.checkAdmission() },
			"first":        func(*rapid.T) { s.firstEvent() },
			"end":          func(*rapid.T) { s.endAttempt() },
			"end again":    func(*rapid.T) { s.endAttempt() },
			"backup":       func(*rapid.T) { s.startBackup() },
			"take over":    func(*rapid.T) { s.takeOver() },
			"notice":       func(*rapid.T) { s.notice() },
			"probe":        func(*rapid.T) { s.probe() },
			"cancel":       func(*rapid.T) { s.cancel() },
			"tick":         func(*rapid.T) { s.tick(rapid.IntRange(1, 12).Draw(s.t, "ticks")) },
			"wait":         func(*rapid.T) { s.tick(rapid.IntRange(40, 500).Draw(s.t, "ticks")) },
			"crash":        func(*rapid.T) { s.crash() },
			"bar":          func(*rapid.T) { s.bar() },
			"read":         func(*rapid.T) { s.readState() },
			"":             func(*rapid.T) { s.check() },
		})
		s.finish()
	})
}

func (s *configSim) update(msg Msg) {
	for _, c := range s.m.Update(msg) {
		switch c := c.(type) {
		case SendCmd:
			r := s.requests[c.ID]
			require.NotNil(s.t, r, "sent, but never submitted")
			require.Equal(s.t, simWaiting, r.state, "request %d was sent", c.ID)
			require.Equal(s.t, r.Service, c.Server.Service, "sent to a server of another service")
			r.state, r.server, r.sentAt = simRunning, c.Server.ID, s.now
		case RefuseCmd:
			s.end(c.ID)
			if s.requests[c.ID].of == 0 {
				require.Positive(s.t, c.RetryAfter)
			}
		case FailCmd:
			s.end(c.ID)
		}
	}
}

// end marks a waiting request as ended by a command.
func (s *configSim) end(id RequestID) {
	r := s.requests[id]
	require.NotNil(s.t, r, "ended, but never submitted")
	require.Equal(s.t, simWaiting, r.state, "request %d was ended", id)
	r.state = simEnded
}

// pick draws one of the requests for which keep holds; nil: there is none.
func (s *configSim) pick(keep func(*simulatedRequest) bool) *simulatedRequest {
	var ids []RequestID
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if keep(s.requests[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return s.requests[rapid.SampledFrom(ids).Draw(s.t, "request")]
}

func isRunning(r *simulatedRequest) bool { return r.state == simRunning && r.of == 0 }

// configServers is the number of servers, more than are examined for most requests.
const configServers = 16

// simFingerprint is the fingerprint of all requests.
const simFingerprint = quarantine.Fingerprint(7)

var (
	simServices = []string{"llm", "app", "new"}
	simVersions = []string{"v1", "v2", "v3"}
	simRegions  = [][]string{nil, nil, {"eu"}, {"us"}, {"eu", "us"}, {"nowhere"}}
	simTeams    = []string{"red", "blue", "green"}
)

// configure draws a configuration: any set of services, each plain or with engines, and any teams and
// limits, absurd ones too.
func (s *configSim) configure() {
	s.revision++
	c := Config{Version: s.revision}
	for _, name := range simServices {
		if rapid.IntRange(0, 3).Draw(s.t, "absent") == 0 {
			continue
		}
		service := Service{Name: name, MaxConnections: rapid.IntRange(-1, 2).Draw(s.t, "connections")}
		if rapid.Bool().Draw(s.t, "engine") {
			service.Engine = &Engine{
				Slots: s.drawCount("slots"), KVTokens: s.drawCount("kv"), EventSize: s.drawCount("stride"),
			}
		}
		if rapid.Bool().Draw(s.t, "cold") {
			service.Cold = ColdLimit{PerSecond: s.drawRate("per second"), Lasts: s.drawDuration("lasts")}
		}
		c.Services = append(c.Services, service)
	}
	for _, name := range simTeams {
		if rapid.Bool().Draw(s.t, "team") {
			c.Teams = append(c.Teams, Team{Name: name, Keys: []string{name}, Regions: rapid.SampledFrom(simRegions).Draw(s.t, "regions")})
		}
	}
	c.Limits.TokensPerSecond = s.drawRate("tokens per second")
	s.update(ConfigMsg{Now: s.now, Config: c})
}

func (s *configSim) drawCount(name string) int {
	return rapid.SampledFrom([]int{0, 1, 4, 8, 100_000, -1, math.MaxInt}).Draw(s.t, name)
}

func (s *configSim) drawRate(name string) float64 {
	return rapid.SampledFrom([]float64{0, 1e-9, 5, 2000, 50_000, -1, math.MaxFloat64}).Draw(s.t, name)
}

func (s *configSim) drawDuration(name string) time.Duration {
	return rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond, 3 * time.Second, -time.Second, math.MaxInt64}).Draw(s.t, name)
}

// list draws a list of servers. One may move to another service under its ID.
func (s *configSim) list() {
	s.revision++
	d := Directory{Revision: s.revision}
	for i := range configServers {
		state := rapid.IntRange(0, 9).Draw(s.t, "state")
		if state == 0 {
			continue
		}
		service := simServices[i%2]
		if state == 1 {
			service = "new"
		}
		d.Servers = append(d.Servers, Server{
			ID: fmt.Sprint("s", i), Service: service, Zone: []string{"a", "b", "c"}[i%3], Version: rapid.SampledFrom(simVersions).Draw(s.t, "version"),
			Slots: rapid.SampledFrom([]int{4, 1, 0, -1}).Draw(s.t, "slots"), Draining: state == 2, ColdFor: rapid.SampledFrom([]time.Duration{0, 0, time.Second}).Draw(s.t, "cold"),
		})
	}
	s.update(ServersMsg{Now: s.now, Directory: d})
}

func (s *configSim) gate() {
	s.update(GateMsg{Now: s.now, Gate: rollout.Gate{
		Service:  rapid.SampledFrom(simServices).Draw(s.t, "service"),
		InUse:    rapid.SampledFrom([][]string{nil, {"v1"}, {"v1", "v2"}, {"v1", "v2", "v3"}}).Draw(s.t, "in use"),
		Target:   rapid.SampledFrom([]string{"", "v2", "v3"}).Draw(s.t, "target"),
		Fraction: rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(s.t, "fraction"), Limit: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(s.t, "limit"),
		ServerFraction: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(s.t, "servers"), OldClosed: rapid.Bool().Draw(s.t, "closed"),
	}})
}

// changeSettings draws a change of what does not come with the configuration.
func (s *configSim) changeSettings() {
	switch rapid.IntRange(0, 4).Draw(s.t, "setting") {
	case 0:
		s.update(RetryBudgetMsg{RetryBudget: RetryBudgetOptions{Ratio: s.drawRate("ratio"), Slack: s.drawRate("slack"), Window: s.drawDuration("window")}})
	case 1:
		s.update(DrainMsg{Drain: s.drawDuration("drain")})
	case 2:
		halls := map[string]string{"a": rapid.SampledFrom([]string{"eu", "us", ""}).Draw(s.t, "a"), "b": "us"}
		s.update(HallRegionsMsg{Now: s.now, Halls: halls})
	case 3:
		s.revision++
		s.update(EvacuationsMsg{Now: s.now, Evacuations: Evacuations{
			Revision: s.revision, Halls: rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "b", "c"}}).Draw(s.t, "halls"),
		}})
	case 4:
		s.update(MembershipMsg{
			Now: s.now, Routers: s.drawCount("routers"), Known: rapid.IntRange(0, 3).Draw(s.t, "known"), Rank: rapid.IntRange(0, 3).Draw(s.t, "rank"),
			ReportTTL: s.drawDuration("ttl"), SilentHalls: rapid.SampledFrom([][]string{nil, {"a"}, {"b"}}).Draw(s.t, "silent"),
		})
	}
}

func (s *configSim) hearPeers() {
	s.update(PeerReportMsg{Now: s.now, Peer: "other", Report: Report{Headroom: s.drawRate("headroom")}})
	s.update(PeerTeamsMsg{Now: s.now, Teams: []loads.TeamUse{{Team: "red", Offered: 90000, Served: rapid.Float32Range(0, 90000).Draw(s.t, "served")}}})
	s.update(PeerCopiesMsg{Now: s.now, Copies: []loads.Copy{{Part: 1, Server: loads.ServerKey("s1")}}})
	s.update(PeerLoadsMsg{Now: s.now, Loads: []loads.Load{{
		Server: loads.ServerKey("s0"), Running: rapid.Int32Range(0, 9).Draw(s.t, "load"), Pending: rapid.SampledFrom([]int32{0, 4000, math.MaxInt32}).Draw(s.t, "pending"),
	}}})
}

// bar lists fingerprints as barred, or none.
func (s *configSim) bar() {
	s.update(QuarantineMsg{
		Now: s.now, Kind: rapid.SampledFrom([]quarantine.Kind{quarantine.Content, quarantine.Part}).Draw(s.t, "kind"),
		Fingerprints: rapid.SampledFrom([][]quarantine.Fingerprint{nil, {simFingerprint}, {quarantine.PartFingerprint(1)}}).Draw(s.t, "barred"),
	})
}

// drawRequest draws a request as a route of some configuration would yield it.
func (s *configSim) drawRequest() Request {
	s.lastID++
	r := Request{
		ID: s.lastID, Team: rapid.SampledFrom([]string{"", "red", "blue", "green"}).Draw(s.t, "team"), Route: "r",
		Service: rapid.SampledFrom(simServices).Draw(s.t, "service"), Regions: RegionsOf(rapid.SampledFrom(simRegions).Draw(s.t, "regions")),
		Kind: rapid.SampledFrom([]Kind{AtMostOnce, Repeatable, Stream}).Draw(s.t, "kind"), MayRepeat: rapid.Bool().Draw(s.t, "repeat"),
		Attempts: rapid.IntRange(1, 3).Draw(s.t, "attempts"), Priority: rapid.IntRange(0, 2).Draw(s.t, "priority"),
		Objective: rapid.SampledFrom([]time.Duration{0, -time.Second, time.Millisecond, 300 * time.Millisecond, 4 * time.Second}).Draw(s.t, "objective"),
		Age:       rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(s.t, "age"), Deadline: s.now + rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(s.t, "left"),
		PromptTokens: s.drawCount("tokens"), OutputTokens: s.drawCount("output"), Fingerprint: simFingerprint,
		Version: rapid.SampledFrom([]string{"", "", "v1", "v9"}).Draw(s.t, "version"), Resumed: rapid.Bool().Draw(s.t, "resumed"),
	}
	for part := range rapid.IntRange(0, 3).Draw(s.t, "parts") {
		r.Parts = append(r.Parts, PromptPart{ID: uint64(part), Tokens: s.drawCount("part tokens")})
	}
	return r
}

func (s *configSim) arrive() {
	r := s.drawRequest()
	s.requests[r.ID] = &simulatedRequest{Request: r, waitingSince: s.now}
	s.update(RequestMsg{Now: s.now, Request: r})
}

// checkAdmission checks a request that a refusal ends, and that does not count as submitted otherwise.
func (s *configSim) checkAdmission() {
	r := s.drawRequest()
	s.requests[r.ID] = &simulatedRequest{Request: r}
	s.update(AdmissionCheckMsg{Now: s.now, Request: r})
	if s.requests[r.ID].state == simWaiting {
		delete(s.requests, r.ID)
		s.update(ShedMsg{Now: s.now, Team: r.Team, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens})
	}
}

func (s *configSim) firstEvent() {
	if r := s.pick(func(r *simulatedRequest) bool { return r.state == simRunning }); r != nil {
		s.update(FirstEventMsg{Now: s.now, ID: r.ID, Streaming: rapid.Bool().Draw(s.t, "streaming")})
	}
}

func (s *configSim) endAttempt() {
	r := s.pick(isRunning)
	if r == nil {
		return
	}
	o := Outcome(rapid.IntRange(int(Done), int(Withheld)).Draw(s.t, "outcome"))
	s.endWith(r, o, o != Done && o != GivenUp && rapid.IntRange(0, 3).Draw(s.t, "retry") > 0)
}

// endWith ends the current attempt of a request.
func (s *configSim) endWith(r *simulatedRequest, o Outcome, retry bool) {
	s.abandonBackup(r)
	r.state, r.waitingSince = simEnded, s.now
	if retry {
		r.state = simWaiting
	}
	s.update(AttemptEndMsg{
		Now: s.now, ID: r.ID, Outcome: o, Retry: retry, ConnRefused: rapid.Bool().Draw(s.t, "refused"),
		RouterLate: rapid.Bool().Draw(s.t, "late"), Unframed: rapid.Bool().Draw(s.t, "unframed"),
	})
}

// crash breaks all attempts at a server, with a probe that finds its process gone or running.
func (s *configSim) crash() {
	first := s.pick(isRunning)
	if first == nil {
		return
	}
	server := first.server
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; isRunning(r) && r.server == server {
			s.endWith(r, Broken, true)
		}
	}
	gone := rapid.Bool().Draw(s.t, "gone")
	s.update(ProbeResultMsg{Now: s.now, Server: server, Reached: !gone, ConnRefused: gone})
}

func (s *configSim) startBackup() {
	of := s.pick(func(r *simulatedRequest) bool { return isRunning(r) && s.backupState(r) == simEnded })
	if of == nil {
		return
	}
	s.lastID++
	backup := &simulatedRequest{Request: of.Request, of: of.ID, waitingSince: s.now}
	backup.ID = s.lastID
	s.requests[backup.ID] = backup
	of.backup = backup.ID
	s.update(BackupMsg{Now: s.now, ID: backup.ID, Of: of.ID})
}

// backupState returns the state of a request's backup. It has ended if there is none.
func (s *configSim) backupState(r *simulatedRequest) simulatedState {
	if r.backup == 0 {
		return simEnded
	}
	return s.requests[r.backup].state
}

// abandonBackup ends the backup of a request, if it has one.
func (s *configSim) abandonBackup(r *simulatedRequest) {
	before := s.backupState(r)
	if before == simEnded {
		return
	}
	s.requests[r.backup].state = simEnded
	if before == simWaiting {
		s.update(CancelMsg{Now: s.now, ID: r.backup})
		return
	}
	s.update(AttemptEndMsg{Now: s.now, ID: r.backup, Outcome: rapid.SampledFrom([]Outcome{Unsent, NotRun, Broken, GivenUp}).Draw(s.t, "backup's outcome")})
}

func (s *configSim) takeOver() {
	of := s.pick(func(r *simulatedRequest) bool { return isRunning(r) && s.backupState(r) == simRunning })
	if of == nil {
		return
	}
	s.requests[of.backup].of, of.state = 0, simEnded
	s.update(TakeOverMsg{Now: s.now, ID: of.backup, Outcome: rapid.SampledFrom([]Outcome{Hung, Broken}).Draw(s.t, "outcome")})
}

func (s *configSim) notice() {
	s.update(NoticeMsg{Now: s.now, Server: fmt.Sprint("s", rapid.IntRange(0, configServers-1).Draw(s.t, "server")), Notice: Notice{
		Leaving: rapid.Bool().Draw(s.t, "leaving"), Backoff: s.drawDuration("backoff"),
	}})
}

func (s *configSim) probe() {
	reached := rapid.Bool().Draw(s.t, "reached")
	s.update(ProbeResultMsg{
		Now: s.now, Server: fmt.Sprint("s", rapid.IntRange(0, configServers-1).Draw(s.t, "server")), Reached: reached,
		ConnRefused: !reached && rapid.Bool().Draw(s.t, "refused"), RouterLate: rapid.Bool().Draw(s.t, "late"),
	})
}

func (s *configSim) cancel() {
	if r := s.pick(func(r *simulatedRequest) bool { return r.state == simWaiting }); r != nil {
		r.state = simEnded
		s.update(CancelMsg{Now: s.now, ID: r.ID})
	}
}

func (s *configSim) tick(n int) {
	for range n {
		s.now += TickInterval
		s.update(TickMsg{Now: s.now})
	}
}

// readState calls what the rest of the router reads from the machine.
func (s *configSim) readState() {
	s.m.Report(s.now)
	s.m.Loads()
	s.m.TakeCopies()
	s.m.Teams(s.now)
	s.m.Shares(s.now, 3)
	s.m.Servers(s.now)
	s.m.AllOldRunning()
	s.m.RequestCounts()
	s.m.PendingRecords(quarantine.Content)
	s.m.QuarantineRecords(quarantine.Part)
	s.m.QuarantineStates(s.now, 3)
	for _, team := range simTeams {
		s.m.TeamWeight(s.now, team)
	}
	for id := range s.requests {
		s.m.ShouldWithhold(s.now, id)
	}
}

// check compares the machine's requests with the simulation's.
func (s *configSim) check() {
	queued := make(map[RequestID]int)
	for _, p := range s.m.pools {
		for _, r := range p.queue.waiting {
			require.True(s.t, r.waiting)
			require.Same(s.t, s.m.requests[r.ID], r)
			queued[r.ID]++
		}
	}
	running := make(map[string]int)
	for id, r := range s.requests {
		switch r.state {
		case simWaiting:
			require.Equal(s.t, 1, queued[id], "request %d waits in no queue", id)
			limit := time.Duration(maxWaitFraction*float64(max(r.Objective, 0))) + 2*TickInterval
			require.LessOrEqual(s.t, s.now-r.waitingSince, limit, "request %d waits too long", id)
		case simRunning:
			require.NotNil(s.t, s.m.requests[id].currentServer)
			require.Zero(s.t, queued[id])
			running[r.server]++
		case simEnded:
			require.Nil(s.t, s.m.requests[id], "request %d has ended", id)
			require.Zero(s.t, queued[id])
		}
	}
	for id, server := range s.m.byServer {
		require.GreaterOrEqual(s.t, running[id], server.running, "running at %s", id)
		require.GreaterOrEqual(s.t, server.running, 0)
	}
}

// finish ends all attempts and lets the waiting time pass: then every request has ended.
func (s *configSim) finish() {
	for r := s.pick(isRunning); r != nil; r = s.pick(isRunning) {
		s.abandonBackup(r)
		r.state = simEnded
		s.update(AttemptEndMsg{Now: s.now, ID: r.ID, Outcome: Done})
	}
	s.tick(int(time.Second/TickInterval) + 2)
	s.check()
	for r := s.pick(isRunning); r != nil; r = s.pick(isRunning) {
		r.state = simEnded
		s.update(AttemptEndMsg{Now: s.now, ID: r.ID, Outcome: Done})
	}
	s.tick(int(time.Second/TickInterval) + 2)
	require.Empty(s.t, s.m.requests)
}
