package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

// partSim simulates routers and servers of several data halls, on which requests with shared prompt
// parts run for some time. Some parts crash each server that begins a response to them.
type partSim struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	routers   []*harness
	servers   map[string]*partServer
	directory Directory
	halls     int
	deadly    map[uint64]bool
	running   []*partAttempt
	pending   []routerCmd
	requestID RequestID
	serverID  int
	changes   []string                   // of the quarantine, for failures
	crashes   int                        // of all servers
	sends     map[uint64][]time.Duration // of requests with a deadly part
	crashedBy map[uint64][]time.Duration // servers that a deadly part crashed
	classes   map[string]*partClass      // by name
	classOf   map[RequestID]string
	recorded  map[quarantine.Fingerprint]bool // parts in the store
	storeDown bool
}

// partServer is one incarnation of a server.
type partServer struct {
	Server
	dead       bool
	replacedAt time.Duration
}

// partClass counts the requests of one kind.
type partClass struct {
	sent, began int // began: at the first attempt
	barred      int // refused or failed because of the quarantine
}

// partAttempt is an attempt of a request at a server.
type partAttempt struct {
	router         int
	r              Request
	class          string
	server         *partServer
	firstAt, endAt time.Duration
	begun          bool
	first          bool          // attempt of its request
	crashAt        time.Duration // 0: it crashes nothing
	deadlyPart     uint64
}

// routerCmd is a command of a router that the simulation has yet to carry out.
type routerCmd struct {
	router int
	cmd    Cmd
}

// Parts of prompts. Sound requests have partCommon first, one of the middle parts, and one of the
// last shared parts.
const (
	partCommon  uint64 = 0xa000
	partMiddle  uint64 = 0xb000
	partSubject uint64 = 0xc000
	partSeldom  uint64 = 0xd000 // is asked for alone once in a while
	partDeadly  uint64 = 0xdead0
)

func newPartSim(t *testing.T, seed uint64, routers, halls, serversPerHall int) *partSim {
	sim := &partSim{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, halls: halls, servers: make(map[string]*partServer),
		deadly: make(map[uint64]bool), sends: make(map[uint64][]time.Duration), crashedBy: make(map[uint64][]time.Duration),
		classes: make(map[string]*partClass), classOf: make(map[RequestID]string), recorded: make(map[quarantine.Fingerprint]bool),
	}
	sim.directory.Revision = 1
	for i := range halls * serversPerHall {
		sim.addServer(i % halls)
	}
	for range routers {
		sim.routers = append(sim.routers, nil)
	}
	for i := range routers {
		sim.startRouter(i)
	}
	return sim
}

func (sim *partSim) addServer(hall int) {
	sim.serverID++
	s := Server{ID: fmt.Sprint("e", sim.serverID), Service: "llm", Zone: fmt.Sprint("hall-", hall), Slots: 48}
	sim.servers[s.ID] = &partServer{Server: s}
	sim.directory.Servers = append(sim.directory.Servers, s)
	sim.directory.Revision++
}

// startRouter starts a router without state, or replaces it by such a one. Attempts of the previous
// one end.
func (sim *partSim) startRouter(i int) {
	h := &harness{t: sim.t, m: NewMachine(Options{Zone: fmt.Sprint("hall-", i%sim.halls), RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}}), now: sim.now}
	h.m.Update(ConfigMsg{Now: sim.now, Config: Config{
		Version: 1, Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}}}, Limits: Limits{TokensPerSecond: 1e7},
	}})
	h.m.Update(ServersMsg{Now: sim.now, Directory: sim.directory})
	h.m.Update(MembershipMsg{Now: sim.now, Routers: len(sim.routers), Known: len(sim.routers), Rank: i, ReportTTL: time.Second})
	sim.running = slices.DeleteFunc(sim.running, func(a *partAttempt) bool { return a.router == i })
	sim.pending = slices.DeleteFunc(sim.pending, func(c routerCmd) bool { return c.router == i })
	sim.routers[i] = h
	sim.deliverRecords(i)
}

// deliverRecords gives a router the parts that the store lists.
func (sim *partSim) deliverRecords(i int) {
	var listed []quarantine.Fingerprint
	for f := range sim.recorded {
		listed = append(listed, f)
	}
	slices.Sort(listed)
	sim.update(i, QuarantineMsg{Now: sim.now, Kind: quarantine.Part, Fingerprints: listed})
}

// update passes a message to a router and queues its commands.
func (sim *partSim) update(i int, msg Msg) {
	for _, cmd := range sim.routers[i].m.Update(msg) {
		sim.pending = append(sim.pending, routerCmd{i, cmd})
	}
}

// send sends a request with the given shared parts to a random router.
func (sim *partSim) send(class string, parts ...uint64) {
	router := sim.random.IntN(len(sim.routers))
	sim.requestID++
	r := Request{
		ID: sim.requestID, Team: "red", Service: "llm", Kind: Stream, MayRepeat: true, Attempts: 2, Priority: 1, Route: class,
		Objective: 400 * time.Millisecond, Deadline: sim.now + 10*time.Second, PromptTokens: 2000, OutputTokens: 100, Fingerprint: quarantine.Fingerprint(sim.requestID) * 0x9e3779b97f4a7c15,
	}
	for _, id := range parts {
		r.Parts = append(r.Parts, PromptPart{ID: id, Tokens: 100})
	}
	r.Parts = append(r.Parts, PromptPart{ID: 1<<40 + uint64(r.ID), Tokens: 100})
	sim.class(class).sent++
	sim.classOf[r.ID] = class
	sim.update(router, RequestMsg{Now: sim.now, Request: r})
}

func (sim *partSim) class(name string) *partClass {
	if sim.classes[name] == nil {
		sim.classes[name] = &partClass{}
	}
	return sim.classes[name]
}

// execute carries out the routers' commands.
func (sim *partSim) execute() {
	for len(sim.pending) > 0 {
		next := sim.pending[0]
		sim.pending = sim.pending[1:]
		switch cmd := next.cmd.(type) {
		case SendCmd:
			sim.begin(next.router, cmd)
		case ProbeCmd:
			s := sim.servers[cmd.Server.ID]
			sim.update(next.router, ProbeResultMsg{Now: sim.now, Server: cmd.Server.ID, Reached: !s.dead, ConnRefused: s.dead})
		case AbortCmd:
			sim.end(next.router, cmd.ID, Broken)
		case QuarantineCmd:
			sim.changes = append(sim.changes, fmt.Sprintf("%v router %d: %x barred=%v after %d", sim.now, next.router, uint64(cmd.Change.Fingerprint), cmd.Change.Barred, cmd.Change.Crashes))
		case ReportCmd:
			sim.report(next.router)
		case RefuseCmd:
			sim.countBarred(cmd.Reason, cmd.ID)
		case FailCmd:
			sim.countBarred(cmd.Reason, cmd.ID)
		}
	}
}

func (sim *partSim) countBarred(reason Reason, id RequestID) {
	if reason == ReasonQuarantined {
		sim.class(sim.classOf[id]).barred++
	}
}

// begin starts an attempt at a server.
func (sim *partSim) begin(router int, cmd SendCmd) {
	s, r := sim.servers[cmd.Server.ID], sim.routers[router].m.requests[cmd.ID].Request
	if s.dead {
		sim.update(router, AttemptEndMsg{Now: sim.now, ID: cmd.ID, Outcome: Unsent, ConnRefused: true, Retry: true})
		return
	}
	a := &partAttempt{first: cmd.Attempt == 1, router: router, r: r, class: r.Route, server: s, firstAt: sim.now + time.Duration(50+sim.random.IntN(200))*time.Millisecond}
	a.endAt = a.firstAt + time.Duration(100+sim.random.IntN(1500))*time.Millisecond
	for _, part := range r.Parts[:len(r.Parts)-1] {
		if sim.deadly[part.ID] {
			a.deadlyPart, a.crashAt = part.ID, a.firstAt+time.Duration(sim.random.IntN(100))*time.Millisecond
			sim.sends[part.ID] = append(sim.sends[part.ID], sim.now)
		}
	}
	sim.running = append(sim.running, a)
}

// end ends the attempt of a request at a router.
func (sim *partSim) end(router int, id RequestID, o Outcome) {
	i := slices.IndexFunc(sim.running, func(a *partAttempt) bool { return a.router == router && a.r.ID == id })
	if i < 0 {
		return
	}
	sim.running = slices.Delete(sim.running, i, i+1)
	sim.update(router, AttemptEndMsg{Now: sim.now, ID: id, Outcome: o, Retry: o != Done})
}

// crash ends a server and everything that runs there. Another one starts seconds later.
func (sim *partSim) crash(s *partServer) {
	s.dead, s.replacedAt = true, sim.now+time.Second+time.Duration(sim.random.IntN(3000))*time.Millisecond
	sim.crashes++
	for _, a := range slices.Clone(sim.running) {
		if a.server == s {
			sim.end(a.router, a.r.ID, Broken)
		}
	}
}

// report delivers a router's report to the others; one in ten is lost.
func (sim *partSim) report(from int) {
	report := sim.routers[from].m.Report(sim.now)
	for to := range sim.routers {
		if to != from && sim.random.IntN(10) > 0 {
			sim.update(to, PeerReportMsg{Now: sim.now, Peer: fmt.Sprint(from), Report: report})
		}
	}
}

// step advances the time by one tick.
func (sim *partSim) step() {
	sim.now += TickInterval
	for i, h := range sim.routers {
		h.now = sim.now
		sim.update(i, TickMsg{Now: sim.now})
	}
	sim.replaceServers()
	for _, a := range slices.Clone(sim.running) {
		sim.progress(a)
	}
	if sim.now%(100*time.Millisecond) == 0 {
		for i := range sim.routers {
			sim.report(i)
		}
	}
	if sim.now%(250*time.Millisecond) == 0 {
		sim.writeRecords()
	}
	sim.execute()
}

// progress advances an attempt.
func (sim *partSim) progress(a *partAttempt) {
	if a.server.dead {
		return // it has ended in this step
	}
	if !a.begun && sim.now >= a.firstAt {
		a.begun = true
		sim.update(a.router, FirstEventMsg{Now: sim.now, ID: a.r.ID, Streaming: true})
		if a.first {
			sim.class(a.class).began++
		}
	}
	switch {
	case a.crashAt > 0 && sim.now >= a.crashAt:
		sim.crashedBy[a.deadlyPart] = append(sim.crashedBy[a.deadlyPart], sim.now)
		sim.crash(a.server)
	case a.crashAt == 0 && sim.now >= a.endAt:
		sim.end(a.router, a.r.ID, Done)
	}
}

// replaceServers starts servers in place of those that crashed some time ago.
func (sim *partSim) replaceServers() {
	changed := false
	for _, s := range slices.Clone(sim.directory.Servers) {
		if old := sim.servers[s.ID]; old.dead && sim.now >= old.replacedAt {
			sim.directory.Servers = slices.DeleteFunc(slices.Clone(sim.directory.Servers), func(other Server) bool { return other.ID == s.ID })
			var hall int
			_, _ = fmt.Sscanf(s.Zone, "hall-%d", &hall)
			sim.addServer(hall)
			changed = true
		}
	}
	if changed {
		for i := range sim.routers {
			sim.update(i, ServersMsg{Now: sim.now, Directory: sim.directory})
		}
	}
}

// writeRecords lets the first router write its records to the store.
func (sim *partSim) writeRecords() {
	if sim.storeDown {
		return
	}
	add, remove := sim.routers[0].m.PendingRecords(quarantine.Part)
	for _, f := range add {
		sim.recorded[f] = true
	}
	for _, f := range remove {
		delete(sim.recorded, f)
	}
	if len(add)+len(remove) > 0 {
		for i := range sim.routers {
			sim.deliverRecords(i)
		}
	}
}

// sendSound sends sound requests for one step: some with the seldom part, once in two seconds, and
// others at the given rate per second.
func (sim *partSim) sendSound(rate float64) {
	if sim.every(0.5) {
		sim.send("seldom", partCommon, partMiddle+uint64(sim.random.IntN(3)), partSeldom)
	}
	for n := rate * TickInterval.Seconds(); n > 0; n-- {
		if sim.random.Float64() >= n {
			continue
		}
		sim.send("sound", partCommon, partMiddle+uint64(sim.random.IntN(3)), partSubject+uint64(sim.random.IntN(40)))
	}
}
