package proof

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/sched"
)

// picker makes the choices of a run: rapid's, or a seeded generator's.
type picker func(n int) int

// step does one thing, by chance. Ordinary events are likelier than faults.
func (b *box) step(pick picker) {
	events := []func(picker){
		b.doArrive, b.doArrive, b.doArrive, b.doDeliver, b.doDeliver, b.doDeliver, b.doDeliver,
		b.doCall, b.doCall, b.doCall, b.doFinish, b.doFinish, b.doAnswer, b.doAnswer, b.doTick, b.doTick,
		b.doQuiet, b.doHangUp, b.doLoseAnswer, b.doLoseCall, b.doCut, b.doHeal,
		b.doKillAgent, b.doKillRouter, b.doFreeze, b.doThaw, b.doLeave, b.doServer, b.doRestart,
	}
	events[pick(len(events))](pick)
}

func (b *box) doArrive(pick picker) {
	i := pick(len(b.routers))
	r := b.routers[i]
	if !r.alive || r.frozen {
		return
	}
	b.nextReq++
	req := &boxReq{id: b.nextReq, router: i, life: r.life, repeatable: pick(2) == 0}
	b.reqs[req.id] = req
	b.order = append(b.order, req.id)
	key := fleet.DemandKey{
		Work: boxWorks[pick(len(boxWorks))], Team: boxTeams[pick(len(boxTeams))], Class: fleet.Class(pick(fleet.Classes)),
	}
	msg := queue.ArriveMsg{Now: b.now, Request: queue.Request{ID: req.id, Key: key, Repeatable: req.repeatable}}
	if pick(8) == 0 {
		msg.Request.Deadline = b.now + time.Duration(1+pick(2000))*time.Millisecond
	}
	b.routerDo(i, r.m.Update(msg))
}

func (b *box) doDeliver(pick picker) {
	n := len(b.links)
	from := pick(n)
	toAgent := pick(2) == 0
	for i := range n {
		l := b.links[(from+i)%n]
		if b.deliver(l, toAgent) || b.deliver(l, !toAgent) {
			return
		}
	}
}

// doQuiet lets all messages and calls arrive.
func (b *box) doQuiet(picker) {
	for range 1000 {
		busy := false
		for _, l := range b.links {
			busy = b.deliver(l, true) || busy
			busy = b.deliver(l, false) || busy
		}
		for _, c := range slices.Clone(b.calls) {
			if c.state == callOut && b.agents[c.agent].alive && !b.agents[c.agent].frozen {
				b.arrive(c)
				busy = true
			}
		}
		if !busy {
			return
		}
	}
}

func (b *box) pickCall(pick picker, s callState) *boxCall {
	var some []*boxCall
	for _, c := range b.calls {
		if c.state == s {
			some = append(some, c)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[pick(len(some))]
}

func (b *box) doCall(pick picker) {
	if c := b.pickCall(pick, callOut); c != nil {
		b.arrive(c)
	}
}

func (b *box) doAnswer(pick picker) {
	if c := b.pickCall(pick, callBack); c != nil {
		b.answer(c, false)
	}
}

func (b *box) doLoseAnswer(pick picker) {
	if c := b.pickCall(pick, callBack); c != nil {
		b.answer(c, true)
	}
}

// doLoseCall breaks a call's connection on the way out: the router knows only
// that it failed, and the call itself may still arrive.
func (b *box) doLoseCall(pick picker) {
	c := b.pickCall(pick, callOut)
	if c == nil || c.gaveUp || b.routers[c.router].frozen || !b.routers[c.router].alive || b.routers[c.router].life != c.life {
		return
	}
	if pick(2) == 0 {
		c.state = callClosed // it never arrives, but who knows
		b.ended(c, queue.OutcomeUnknown)
		return
	}
	c.gaveUp = true
	b.ended(c, queue.OutcomeUnknown)
}

func (b *box) doFinish(pick picker) {
	i := pick(len(b.agents))
	if n := len(b.agents[i].running); n > 0 {
		b.finish(i, pick(n))
	}
}

func (b *box) doTick(pick picker) {
	n := 1 + pick(4)
	for range n {
		b.tick()
	}
}

func (b *box) tick() {
	b.now += queue.TickEvery
	for _, l := range b.links {
		b.tickLink(l)
	}
	for i, r := range b.routers {
		if r.alive && !r.frozen {
			b.routerDo(i, r.m.Update(queue.TickMsg{Now: b.now}))
			b.hubDo(i, r.hub.Update(ledger.TickMsg{Now: b.now, ShareEvery: 200 * time.Millisecond}))
		}
	}
	for i, a := range b.agents {
		if a.alive && !a.frozen {
			b.agentDo(i, a.m.Update(sched.TickMsg{Now: b.now}))
		}
	}
}

// tickLink gives up links that are silent and makes new ones.
func (b *box) tickLink(l *boxLink) {
	stuck := l.cut() || b.routers[l.r].frozen || b.agents[l.a].frozen
	if !l.up {
		b.linkUp(l)
		return
	}
	if !stuck {
		l.silent = 0
		return
	}
	l.silent++
	if l.silent > linkSilence {
		b.linkDown(l)
	}
}

func (b *box) doHangUp(pick picker) {
	if len(b.order) == 0 {
		return
	}
	req := b.reqs[b.order[pick(len(b.order))]]
	r := b.routers[req.router]
	if len(req.told) > 0 || req.hungUp || !r.alive || r.frozen || r.life != req.life {
		return
	}
	req.hungUp = true
	b.routerDo(req.router, r.m.Update(queue.CancelMsg{Now: b.now, ID: req.id}))
	for _, c := range b.calls {
		if c.req == req && c.state != callClosed && !c.gaveUp {
			c.gaveUp = true
			b.routerDo(req.router, r.m.Update(queue.EndMsg{Now: b.now, ID: req.id, Outcome: queue.OutcomeCut}))
		}
	}
}

func (b *box) doCut(pick picker) {
	l := b.links[pick(len(b.links))]
	switch pick(3) {
	case 0:
		l.cutA = true
	case 1:
		l.cutR = true
	default:
		l.cutA, l.cutR = true, true
	}
}

func (b *box) doHeal(pick picker) {
	l := b.links[pick(len(b.links))]
	l.cutA, l.cutR = false, false
}

// doKillAgent ends an agent at once; what it ran on its server is cut, and
// routers with calls to it may only guess.
func (b *box) doKillAgent(pick picker) {
	i := pick(len(b.agents))
	a := b.agents[i]
	if !a.alive {
		return
	}
	a.alive = false
	a.running = nil
	for _, c := range b.calls {
		if c.agent == i && (c.state == callHeld || c.state == callRuns) {
			c.state, c.outcome = callBack, queue.OutcomeUnknown
		}
	}
	for r := range b.routers {
		b.linkDown(b.link(r, i))
	}
}

func (b *box) doKillRouter(pick picker) {
	i := pick(len(b.routers))
	r := b.routers[i]
	if !r.alive {
		return
	}
	r.alive = false
	for _, c := range b.calls {
		if c.router == i {
			c.gaveUp = true
		}
	}
	for a := range b.agents {
		b.linkDown(b.link(i, a))
	}
}

func (b *box) doRestart(pick picker) {
	if pick(2) == 0 {
		if i := pick(len(b.agents)); !b.agents[i].alive {
			b.startAgent(i)
		}
		return
	}
	if i := pick(len(b.routers)); !b.routers[i].alive {
		b.startRouter(i)
	}
}

func (b *box) doFreeze(pick picker) {
	if pick(2) == 0 {
		b.agents[pick(len(b.agents))].frozen = true
		return
	}
	b.routers[pick(len(b.routers))].frozen = true
}

// doThaw lets a frozen process go on with all its old state.
func (b *box) doThaw(pick picker) {
	if pick(2) == 0 {
		b.thawAgent(pick(len(b.agents)))
		return
	}
	b.thawRouter(pick(len(b.routers)))
}

// thawAgent lets an agent notice links that were given up meanwhile.
func (b *box) thawAgent(i int) {
	a := b.agents[i]
	if !a.frozen || !a.alive {
		return
	}
	a.frozen = false
	for r := range b.routers {
		if !b.link(r, i).up {
			b.agentDo(i, a.m.Update(sched.RouterDownMsg{Now: b.now, Router: b.routers[r].name}))
		}
	}
	b.noticeEnds(i)
}

// noticeEnds tells an agent of runs that ended while it was frozen.
func (b *box) noticeEnds(i int) {
	a := b.agents[i]
	for _, c := range b.calls {
		ended := c.state == callBack || c.state == callClosed
		if c.agent == i && ended && c.cmd.Claim.Incarnation == a.inc {
			b.agentDo(i, a.m.Update(sched.EndMsg{Now: b.now, Seq: c.cmd.Claim.Seq}))
		}
	}
}

func (b *box) thawRouter(i int) {
	r := b.routers[i]
	if !r.frozen || !r.alive {
		return
	}
	r.frozen = false
	for a := range b.agents {
		if !b.link(i, a).up {
			b.routerDo(i, r.m.Update(queue.AgentDownMsg{Now: b.now, Agent: b.agents[a].name}))
		}
	}
}

func (b *box) doLeave(pick picker) {
	if pick(3) > 0 {
		return
	}
	i := pick(len(b.agents))
	a := b.agents[i]
	if !a.alive || a.frozen || a.leaving {
		return
	}
	a.leaving, a.leftAt = true, b.now
	if !b.sabotage.claimWhileLeaving {
		b.agentDo(i, a.m.Update(sched.LeaveMsg{Now: b.now}))
	}
	b.sendBeats(i)
}

// doServer lets a server fail its probe, or pass it again.
func (b *box) doServer(pick picker) {
	i := pick(len(b.agents))
	a := b.agents[i]
	if !a.alive || a.frozen || a.leaving {
		return
	}
	a.serverUp = !a.serverUp
	b.sendBeats(i)
	b.agentDo(i, a.m.Update(sched.HealthMsg{Now: b.now, Serving: a.serverUp}))
}

func (b *box) sendBeats(agent int) {
	a := b.agents[agent]
	for r := range b.routers {
		if l := b.link(r, agent); l.up {
			l.toR = append(l.toR, beat{serving: a.serverUp && !a.leaving})
		}
	}
}

// settle ends all faults and lets everything finish.
func (b *box) settle() {
	for _, l := range b.links {
		l.cutA, l.cutR = false, false
	}
	for i := range b.agents {
		b.thawAgent(i)
		if !b.agents[i].alive {
			b.startAgent(i)
		}
		if !b.agents[i].serverUp && !b.agents[i].leaving {
			b.agents[i].serverUp = true
			b.sendBeats(i)
			b.agentDo(i, b.agents[i].m.Update(sched.HealthMsg{Now: b.now, Serving: true}))
		}
	}
	for i := range b.routers {
		b.thawRouter(i)
		if !b.routers[i].alive {
			b.startRouter(i)
		}
	}
	for range int(2*boxMaxWait/queue.TickEvery) + linkSilence {
		b.tick()
		b.doQuiet(nil)
		for i := range b.agents {
			for len(b.agents[i].running) > 0 {
				b.finish(i, 0)
			}
		}
		for _, c := range slices.Clone(b.calls) {
			if c.state == callBack {
				b.answer(c, false)
			}
		}
		b.calls = slices.DeleteFunc(b.calls, func(c *boxCall) bool { return c.state == callClosed })
	}
}

// checkSettled holds that every caller who is still there has one answer.
func (b *box) checkSettled() {
	for _, id := range b.order {
		req := b.reqs[id]
		r := b.routers[req.router]
		if len(req.told) == 0 && !req.hungUp && r.life == req.life {
			b.fail("request %d never had an answer", id)
		}
	}
	for i, r := range b.routers {
		if n := r.m.Unfinished(); n != 0 {
			b.fail("router %d still holds %d requests", i, n)
		}
	}
	for i, a := range b.agents {
		if a.m.Running() != 0 {
			b.fail("agent %d still counts %d runs", i, a.m.Running())
		}
	}
}
