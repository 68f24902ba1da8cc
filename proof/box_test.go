package proof

import (
	"fmt"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/sched"
)

const (
	boxHall     = fleet.Hall("h")
	linkSilence = 60 // ticks after which a cut link is given up
	boxMaxWait  = 20 * time.Second
	boxSlots    = 2
)

// box is a whole fleet of machines with links, calls and servers between
// them, one event at a time. Nothing in it happens by itself.
type box struct {
	now      time.Duration
	routers  []*boxRouter
	agents   []*boxAgent
	links    []*boxLink
	calls    []*boxCall
	reqs     map[queue.RequestID]*boxReq
	order    []queue.RequestID
	nextReq  queue.RequestID
	sabotage sabotage
	broken   string // the first broken promise
}

// sabotage switches a mechanism off, to show that the oracle sees it.
type sabotage struct {
	failedMeansNotRun bool // a lost agent is taken for one that never started
	denyStarted       bool // an agent disowns a run that it started
	freeEarly         bool // an agent frees a slot when a run starts
	claimWhileLeaving bool // an agent is not told that it leaves
}

type boxRouter struct {
	name   fleet.Name
	life   int
	alive  bool
	frozen bool
	m      *queue.Machine
	hub    *ledger.Hub
}

type boxAgent struct {
	name     fleet.Name
	inc      fleet.Incarnation
	alive    bool
	frozen   bool
	leaving  bool
	leftAt   time.Duration
	m        *sched.Machine
	serverUp bool
	running  []*boxCall // on its server
}

// boxLink is one control link: ordered both ways, and lost as a whole.
type boxLink struct {
	r, a       int
	up         bool
	cutA, cutR bool // nothing gets to the agent, or to the router
	silent     int  // ticks
	toA, toR   []any
}

func (l *boxLink) cut() bool { return l.cutA || l.cutR }

type callState int

const (
	callOut    callState = iota // on its way to the agent
	callHeld                    // the agent has it
	callRuns                    // on the server
	callBack                    // the answer is on its way
	callClosed                  // the router has heard, or has given it up
)

// boxCall is one HTTP call of a router to an agent.
type boxCall struct {
	req     *boxReq
	cmd     queue.RunCmd
	router  int
	life    int
	agent   int
	state   callState
	outcome queue.Outcome // on its way back
	gaveUp  bool          // the router no longer waits for it
}

// boxReq is a caller's request and the oracle's account of it.
type boxReq struct {
	id         queue.RequestID
	router     int
	life       int
	repeatable bool
	runs       int
	told       []string // every final answer
	hungUp     bool
}

var boxWorks = []fleet.Work{"report", "pages"}
var boxTeams = []fleet.Team{"ajax", "basel", "chur"}

func newBox(routers, agents int) *box {
	b := &box{reqs: map[queue.RequestID]*boxReq{}, now: time.Second}
	for i := range routers {
		b.routers = append(b.routers, &boxRouter{name: fleet.Name(fmt.Sprintf("r%d", i))})
		b.startRouter(i)
	}
	for i := range agents {
		b.agents = append(b.agents, &boxAgent{name: fleet.Name(fmt.Sprintf("a%d", i))})
		b.startAgent(i)
	}
	for r := range routers {
		for a := range agents {
			b.links = append(b.links, &boxLink{r: r, a: a})
		}
	}
	for _, l := range b.links {
		b.linkUp(l)
	}
	return b
}

func (b *box) startRouter(i int) {
	r := b.routers[i]
	r.life++
	r.alive, r.frozen = true, false
	r.m = queue.New(queue.Config{
		Self: r.name, Hall: boxHall, MaxWaiting: 40, MaxWait: boxMaxWait, RetryBudget: 0.5,
		MaxWaitingPerTeam: map[fleet.Team]int{"ajax": 10, "basel": 20, "chur": 20},
	})
	r.hub = ledger.NewHub(r.name, boxHall)
}

func (b *box) startAgent(i int) {
	a := b.agents[i]
	a.inc++
	a.alive, a.frozen, a.leaving, a.serverUp = true, false, false, true
	works := boxWorks
	if i%2 == 1 {
		works = boxWorks[:1]
	}
	a.m = sched.New(sched.Config{
		Slots: boxSlots, Works: works, ClaimAhead: 1,
		Shares:     map[fleet.Team]float64{"ajax": 2, "basel": 1, "chur": 0.5},
		ShareEvery: 200 * time.Millisecond, Delta: time.Second,
		UrgentBorrow: time.Second, CatchUp: 20 * time.Second,
		PeerSlotRatio: map[fleet.Work]float64{"report": 1},
	})
	a.m.Update(sched.HealthMsg{Now: b.now, Serving: true})
}

func (b *box) fail(format string, args ...any) {
	if b.broken == "" {
		b.broken = fmt.Sprintf(format, args...)
	}
}

// ---- links

func (b *box) linkUp(l *boxLink) {
	r, a := b.routers[l.r], b.agents[l.a]
	if l.up || !r.alive || !a.alive || r.frozen || a.frozen || l.cut() {
		return
	}
	l.up, l.silent, l.toA, l.toR = true, 0, nil, nil
	src := ledger.Source{Agent: a.name, Incarnation: a.inc}
	b.hubDo(l.r, r.hub.Update(ledger.AgentUpMsg{Now: b.now, Source: src, Hall: boxHall}))
	b.agentDo(l.a, a.m.Update(sched.RouterUpMsg{Now: b.now, Router: r.name, Hub: true}))
	l.toR = append(l.toR, beat{serving: a.serverUp && !a.leaving})
}

// beat is an agent's heartbeat.
type beat struct{ serving bool }

func (b *box) linkDown(l *boxLink) {
	if !l.up {
		return
	}
	l.up, l.toA, l.toR = false, nil, nil
	r, a := b.routers[l.r], b.agents[l.a]
	if r.alive && !r.frozen {
		b.routerDo(l.r, r.m.Update(queue.AgentDownMsg{Now: b.now, Agent: a.name}))
		b.hubDo(l.r, r.hub.Update(ledger.AgentDownMsg{Now: b.now, Agent: a.name}))
	}
	if a.alive && !a.frozen {
		b.agentDo(l.a, a.m.Update(sched.RouterDownMsg{Now: b.now, Router: r.name}))
	}
}

func (b *box) link(r, a int) *boxLink { return b.links[r*len(b.agents)+a] }

// deliver hands over the next message of a link, one way.
func (b *box) deliver(l *boxLink, toAgent bool) bool {
	if !l.up || b.routers[l.r].frozen || b.agents[l.a].frozen {
		return false
	}
	if toAgent {
		if len(l.toA) == 0 || l.cutA {
			return false
		}
		m := l.toA[0]
		l.toA = l.toA[1:]
		b.agentHears(l, m)
		return true
	}
	if len(l.toR) == 0 || l.cutR {
		return false
	}
	m := l.toR[0]
	l.toR = l.toR[1:]
	b.routerHears(l, m)
	return true
}

func (b *box) agentHears(l *boxLink, m any) {
	a, router := b.agents[l.a], b.routers[l.r].name
	switch m := m.(type) {
	case queue.DemandCmd:
		b.agentDo(l.a, a.m.Update(sched.DemandMsg{Now: b.now, Router: router, Counts: m.Counts}))
	case queue.DenyCmd:
		b.agentDo(l.a, a.m.Update(sched.DenyMsg{Now: b.now, Seq: m.Claim.Seq, Count: m.Count}))
	case ledger.TotalsCmd:
		b.agentDo(l.a, a.m.Update(sched.TotalsMsg{Now: b.now, Rows: m.Rows}))
	}
}

func (b *box) routerHears(l *boxLink, m any) {
	r, a := b.routers[l.r], b.agents[l.a]
	src := fleet.ClaimID{Agent: a.name, Incarnation: a.inc}
	switch m := m.(type) {
	case beat:
		if m.serving {
			works := boxWorks
			if l.a%2 == 1 {
				works = boxWorks[:1]
			}
			b.routerDo(l.r, r.m.Update(queue.AgentUpMsg{Now: b.now, Agent: a.name, Hall: boxHall, Works: works}))
			return
		}
		b.routerDo(l.r, r.m.Update(queue.AgentLeavingMsg{Now: b.now, Agent: a.name}))
	case sched.FreeCmd:
		b.routerDo(l.r, r.m.Update(queue.FreeMsg{Now: b.now, Agent: a.name, Incarnation: a.inc, Slots: m.Slots, First: m.First}))
	case sched.ClaimCmd:
		src.Seq = m.Seq
		b.routerDo(l.r, r.m.Update(queue.ClaimMsg{Now: b.now, Claim: src, Key: m.Key}))
	case sched.ServiceCmd:
		b.hubDo(l.r, r.hub.Update(ledger.ServiceMsg{
			Now: b.now, Source: ledger.Source{Agent: a.name, Incarnation: a.inc}, Hall: boxHall, Rows: m.Rows,
		}))
	}
}

// ---- commands

func (b *box) routerDo(i int, cmds []queue.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case queue.DemandCmd:
			b.sendToAgent(i, c.Agent, c)
		case queue.DenyCmd:
			b.sendToAgent(i, c.Claim.Agent, c)
		case queue.RunCmd:
			b.call(i, c)
		case queue.AbortCmd:
			b.abort(i, c.ID)
		case queue.RefuseCmd:
			b.tell(c.ID, c.Ran.String())
		}
	}
}

func (b *box) hubDo(i int, cmds []ledger.Command) {
	for _, c := range cmds {
		if t, ok := c.(ledger.TotalsCmd); ok {
			b.sendToAgent(i, t.Agent, t)
		}
	}
}

func (b *box) sendToAgent(router int, agent fleet.Name, m any) {
	if l := b.link(router, b.agentIndex(agent)); l.up {
		l.toA = append(l.toA, m)
	}
}

func (b *box) agentIndex(n fleet.Name) int {
	return slices.IndexFunc(b.agents, func(a *boxAgent) bool { return a.name == n })
}

func (b *box) agentDo(i int, cmds []sched.Command) {
	a := b.agents[i]
	for _, c := range cmds {
		switch c := c.(type) {
		case sched.ClaimCmd:
			if a.leaving && b.now > a.leftAt {
				b.fail("agent %s claims after it began to leave", a.name)
			}
			b.sendToRouter(i, c.Router, c)
		case sched.FreeCmd:
			b.sendToRouter(i, c.Router, c)
		case sched.ServiceCmd:
			b.sendToRouter(i, c.Router, c)
		case sched.StartCmd:
			b.started(i, c.Seq)
		case sched.RejectCmd:
			b.rejected(i, c.Seq)
		}
	}
}

func (b *box) sendToRouter(agent int, router fleet.Name, m any) {
	for r := range b.routers {
		if l := b.link(r, agent); b.routers[r].name == router && l.up {
			l.toR = append(l.toR, m)
		}
	}
}

// ---- calls

func (b *box) call(router int, c queue.RunCmd) {
	req := b.reqs[c.ID]
	b.calls = append(b.calls, &boxCall{
		req: req, cmd: c, router: router, life: b.routers[router].life,
		agent: b.agentIndex(c.Claim.Agent),
	})
}

// held finds the call with a claim that an agent holds.
func (b *box) held(agent int, seq uint64) *boxCall {
	for _, c := range b.calls {
		if c.agent == agent && c.state == callHeld && c.cmd.Claim.Seq == seq && c.cmd.Claim.Incarnation == b.agents[agent].inc {
			return c
		}
	}
	return nil
}

// arrive brings a call to its agent.
func (b *box) arrive(c *boxCall) {
	a := b.agents[c.agent]
	if !a.alive {
		c.state, c.outcome = callBack, queue.OutcomeUnknown
		return
	}
	if a.frozen {
		return // it stays in the socket
	}
	c.state = callHeld
	if a.inc != c.cmd.Claim.Incarnation {
		c.state, c.outcome = callBack, queue.OutcomeNotRun
		return
	}
	left := c.cmd.Remaining
	b.agentDo(c.agent, a.m.Update(sched.ArriveMsg{Now: b.now, Seq: c.cmd.Claim.Seq, Key: left.Key, Remaining: left.Waiting, OldestAge: left.OldestAge}))
}

func (b *box) started(agent int, seq uint64) {
	c := b.held(agent, seq)
	if c == nil {
		return
	}
	if c.gaveUp { // the closed connection is seen before the start
		c.state = callClosed
		b.agentDo(agent, b.agents[agent].m.Update(sched.EndMsg{Now: b.now, Seq: seq}))
		return
	}
	b.run(c)
	if b.sabotage.freeEarly {
		b.agentDo(agent, b.agents[agent].m.Update(sched.EndMsg{Now: b.now, Seq: seq}))
	}
}

func (b *box) run(c *boxCall) {
	c.state = callRuns
	c.req.runs++
	if c.req.runs > 1 && !c.req.repeatable {
		b.fail("request %d may not be repeated and ran %d times", c.req.id, c.req.runs)
	}
	b.checkTold(c.req)
	a := b.agents[c.agent]
	a.running = append(a.running, c)
	if len(a.running) > boxSlots {
		b.fail("agent %s runs %d requests on %d slots", a.name, len(a.running), boxSlots)
	}
}

func (b *box) rejected(agent int, seq uint64) {
	if c := b.held(agent, seq); c != nil {
		c.state, c.outcome = callBack, queue.OutcomeNotRun
	}
}

// finish ends a run on a server.
func (b *box) finish(agent, n int) {
	a := b.agents[agent]
	c := a.running[n]
	a.running = slices.Delete(a.running, n, n+1)
	c.state, c.outcome = callBack, queue.OutcomeDone
	if b.sabotage.denyStarted {
		c.outcome = queue.OutcomeNotRun
	}
	if a.alive && c.cmd.Claim.Incarnation == a.inc && !a.frozen {
		b.agentDo(agent, a.m.Update(sched.EndMsg{Now: b.now, Seq: c.cmd.Claim.Seq}))
	}
}

// answer brings a call's outcome to its router.
func (b *box) answer(c *boxCall, lost bool) {
	r := b.routers[c.router]
	if c.gaveUp || !r.alive || r.life != c.life {
		c.state = callClosed
		return
	}
	if r.frozen {
		return
	}
	c.state = callClosed
	outcome := c.outcome
	if lost {
		outcome = queue.OutcomeUnknown
	}
	b.ended(c, outcome)
}

// ended is the one EndMsg of a call.
func (b *box) ended(c *boxCall, outcome queue.Outcome) {
	if outcome == queue.OutcomeUnknown && b.sabotage.failedMeansNotRun {
		outcome = queue.OutcomeNotRun
	}
	if outcome == queue.OutcomeDone {
		b.tell(c.req.id, "yes")
	}
	b.routerDo(c.router, b.routers[c.router].m.Update(queue.EndMsg{Now: b.now, ID: c.req.id, Outcome: outcome}))
}

// abort gives up a router's wait for a call; the call itself may go on.
func (b *box) abort(router int, id queue.RequestID) {
	for _, c := range b.calls {
		if c.router == router && c.req.id == id && c.state != callClosed && !c.gaveUp && c.life == b.routers[router].life {
			c.gaveUp = true
			b.ended(c, queue.OutcomeUnknown)
			return
		}
	}
}

// tell notes a final answer.
func (b *box) tell(id queue.RequestID, ran string) {
	req := b.reqs[id]
	if req == nil {
		b.fail("an answer to request %d, which nobody asked", id)
		return
	}
	req.told = append(req.told, ran)
	if len(req.told) > 1 {
		b.fail("request %d has %d final answers: %v", id, len(req.told), req.told)
	}
	b.checkTold(req)
}

// checkTold holds that what was called "not run" never ran, not even later.
func (b *box) checkTold(req *boxReq) {
	if slices.Contains(req.told, "no") && req.runs > 0 {
		b.fail("request %d was told it did not run, and ran", req.id)
	}
}
