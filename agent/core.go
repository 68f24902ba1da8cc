package agent

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/adopt"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/process"
	"github.com/croftvale/croftvale/sched"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/wire"
	"github.com/phuslu/log"
)

// pullTimeout is the time after which an unanswered bundle pull may be repeated
// with another peer.
const pullTimeout = 500 * time.Millisecond

// core owns the agent's state and runs its event loop. Only the loop's goroutine
// accesses the state.
type core struct {
	settings    settings.Agent
	log         *log.Logger
	now         func() time.Duration
	incarnation fleet.Incarnation
	events      chan event
	links       chan link.Event
	meter       *link.Meter
	adopter     *adopt.Runner
	onBundle    func(bundle.Active) // called with each bundle that becomes active

	scheduler *sched.Machine
	keys      *once.KeyTable
	active    bundle.Active
	routers   map[fleet.Name]*routerLink
	replies   map[uint64]chan<- decision // for requests that wait to start, by sequence number of the claim
	serving   bool
	leaving   bool
	drained   chan struct{} // closed once the agent is leaving and holds no requests
	pulse     process.Pulse
	nextPull  time.Duration // earliest time of the next bundle pull
}

// routerLink holds a link to a router and the last heartbeat received on it.
type routerLink struct {
	conn          *link.Conn
	lastHeartbeat wire.Heartbeat
}

// run is the event loop. It passes link events, request events and ticks to the
// scheduler until ctx ends.
func (c *core) run(ctx context.Context) {
	tick := time.NewTicker(sched.TickInterval)
	defer tick.Stop()
	heartbeat := time.NewTicker(link.MinHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.links:
			c.onLink(e)
		case e := <-c.events:
			c.onEvent(e)
		case <-tick.C:
			c.updateScheduler(sched.TickMsg{Now: c.now()})
		case <-heartbeat.C:
			c.keepAlive()
		}
		c.checkDrained()
	}
}

// updateScheduler passes a message to the scheduler and executes the commands that
// it returns.
func (c *core) updateScheduler(m sched.Msg) {
	for _, cmd := range c.scheduler.Update(m) {
		c.execute(cmd)
	}
}

func (c *core) execute(cmd sched.Command) {
	switch cmd := cmd.(type) {
	case sched.ClaimCmd:
		c.send(cmd.Router, func(conn *link.Conn) wire.Message { return encodeClaim(conn, cmd) })
	case sched.FreeCmd:
		c.send(cmd.Router, func(*link.Conn) wire.Message { return wire.Free{Slots: uint32(cmd.Slots), First: cmd.First} })
	case sched.ServiceCmd:
		c.send(cmd.Router, func(conn *link.Conn) wire.Message {
			return wire.Service{Rows: conn.EncodeService(cmd.Rows)}
		})
	case sched.StartCmd:
		c.decide(cmd.Seq, decisionStart)
	case sched.RejectCmd:
		c.decide(cmd.Seq, decisionReject)
	}
}

// encodeClaim encodes a claim for one link.
func encodeClaim(conn *link.Conn, cmd sched.ClaimCmd) wire.Claim {
	return wire.Claim{
		Seq:   cmd.Seq,
		Work:  conn.OutNames.Number(string(cmd.Key.Work)),
		Team:  conn.OutNames.Number(string(cmd.Key.Team)),
		Class: cmd.Key.Class,
	}
}

// send encodes a message for a router's link and sends it. It does nothing if the
// router has no link.
func (c *core) send(router fleet.Name, encode func(*link.Conn) wire.Message) {
	if r, ok := c.routers[router]; ok {
		r.conn.SendNamed(encode(r.conn))
	}
}

// decide sends the decision to a request's goroutine.
func (c *core) decide(seq uint64, d decision) {
	if reply, ok := c.replies[seq]; ok {
		reply <- d
		delete(c.replies, seq)
	}
}

func (c *core) onEvent(e event) {
	switch e := e.(type) {
	case requestEvent:
		c.onRequest(e)
	case cancelEvent:
		c.cancel(e)
	case runEndEvent:
		c.updateScheduler(sched.EndMsg{Now: c.now(), Seq: e.seq})
	case bundleEvent:
		c.applyBundle(e.active)
	case healthEvent:
		c.setServing(e.serving)
	case shutdownEvent:
		c.startDrain()
	case stateEvent:
		e.reply <- c.state()
	}
}

// onRequest passes a request to the scheduler. It rejects a request whose claim is
// already used by a waiting request, so that the waiting one is not affected.
func (c *core) onRequest(e requestEvent) {
	if _, duplicate := c.replies[e.seq]; duplicate {
		e.reply <- decisionReject
		return
	}
	c.replies[e.seq] = e.reply
	c.updateScheduler(sched.ArriveMsg{Now: c.now(), Seq: e.seq, Key: e.key, Remaining: e.remaining, OldestAge: e.oldestAge})
}

// cancel drops a request that waits to start. Another request with the same claim
// is not affected.
func (c *core) cancel(e cancelEvent) {
	if c.replies[e.seq] != e.reply {
		return // already decided
	}
	delete(c.replies, e.seq)
	c.updateScheduler(sched.EndMsg{Now: c.now(), Seq: e.seq})
	e.reply <- decisionReject
}

func (c *core) setServing(serving bool) {
	if serving != c.serving {
		c.log.Info().Bool("serving", serving).Msg("health of backend server changed")
	}
	c.serving = serving
	c.broadcastHeartbeat() // before the free slots: routers ignore those of an agent that is not serving
	c.updateScheduler(sched.HealthMsg{Now: c.now(), Serving: serving && !c.leaving})
}

// startDrain stops claiming requests and reports this to every router.
func (c *core) startDrain() {
	c.leaving = true
	c.updateScheduler(sched.LeaveMsg{Now: c.now()})
	c.broadcastHeartbeat()
}

// checkDrained closes drained once the agent is leaving and holds no requests.
func (c *core) checkDrained() {
	if !c.leaving || c.scheduler.Busy() {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

// applyBundle activates a bundle for the core and the proxy.
func (c *core) applyBundle(active bundle.Active) {
	c.active = active
	c.nextPull = 0
	b := active.Bundle.WithDefaults()
	c.updateScheduler(sched.ConfigMsg{Now: c.now(), Config: schedulerConfig(b, c.settings.Name)})
	c.setKeyAgents(b)
	c.onBundle(active)
	c.broadcastHeartbeat()
	c.log.Info().Uint64("generation", uint64(active.Generation())).Str("digest", string(active.Order.Digest)).Msg("bundle activated")
}
