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

// pullTimeout is how long a bundle that was asked for may take before another
// peer is asked.
const pullTimeout = 500 * time.Millisecond

// core owns the agent's state. Only its own goroutine touches it.
type core struct {
	settings    settings.Agent
	log         *log.Logger
	now         func() time.Duration
	incarnation fleet.Incarnation
	events      chan event
	links       chan link.Event
	meter       *link.Meter
	keeper      *adopt.Keeper
	bundles     func(bundle.Active) // hears of each bundle in force

	machine   *sched.Machine
	keys      *once.KeyTable
	inForce   bundle.Active
	routers   map[fleet.Name]*routerLink
	waiting   map[uint64]chan<- verdict
	serving   bool
	leaving   bool
	left      chan struct{} // closed once nothing is held after leaving
	pulse     process.Pulse
	pullAgain time.Duration // when another peer may be asked for a bundle
}

// routerLink is a link to a router and what it last said of itself.
type routerLink struct {
	conn *link.Conn
	last wire.Heartbeat
}

// run feeds the machine until ctx ends.
func (c *core) run(ctx context.Context) {
	tick := time.NewTicker(sched.TickInterval)
	defer tick.Stop()
	beat := time.NewTicker(link.HeartbeatEvery)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.links:
			c.onLink(e)
		case e := <-c.events:
			c.onEvent(e)
		case <-tick.C:
			c.feed(sched.TickMsg{Now: c.now()})
		case <-beat.C:
			c.keepAlive()
		}
		c.checkLeft()
	}
}

// feed gives the machine one message and carries out what it wants.
func (c *core) feed(m sched.Msg) {
	for _, cmd := range c.machine.Update(m) {
		c.perform(cmd)
	}
}

func (c *core) perform(cmd sched.Command) {
	switch cmd := cmd.(type) {
	case sched.ClaimCmd:
		c.send(cmd.Router, func(conn *link.Conn) wire.Message { return claimOf(conn, cmd) })
	case sched.FreeCmd:
		c.send(cmd.Router, func(*link.Conn) wire.Message { return wire.Free{Slots: uint32(cmd.Slots), First: cmd.First} })
	case sched.ServiceCmd:
		c.send(cmd.Router, func(conn *link.Conn) wire.Message {
			return wire.Service{Rows: conn.SpellService(cmd.Rows)}
		})
	case sched.StartCmd:
		c.decide(cmd.Seq, verdictStart)
	case sched.RejectCmd:
		c.decide(cmd.Seq, verdictReject)
	}
}

// claimOf spells a claim for one link.
func claimOf(conn *link.Conn, cmd sched.ClaimCmd) wire.Claim {
	return wire.Claim{
		Seq:   cmd.Seq,
		Work:  conn.Out.Number(string(cmd.Key.Work)),
		Team:  conn.Out.Number(string(cmd.Key.Team)),
		Class: cmd.Key.Class,
	}
}

// send spells a message for a router's link and sends it, if the link stands.
func (c *core) send(router fleet.Name, spell func(*link.Conn) wire.Message) {
	if r, ok := c.routers[router]; ok {
		r.conn.SendNamed(spell(r.conn))
	}
}

// decide tells a request's goroutine the verdict.
func (c *core) decide(seq uint64, v verdict) {
	if reply, ok := c.waiting[seq]; ok {
		reply <- v
		delete(c.waiting, seq)
	}
}

func (c *core) onEvent(e event) {
	switch e := e.(type) {
	case arriveEvent:
		c.arrive(e)
	case abandonEvent:
		c.abandon(e)
	case endEvent:
		c.feed(sched.EndMsg{Now: c.now(), Seq: e.seq})
	case bundleEvent:
		c.adopted(e.inForce)
	case healthEvent:
		c.setServing(e.serving)
	case leaveEvent:
		c.leave()
	case stateEvent:
		e.reply <- c.state()
	}
}

// arrive hands a request to the machine. A second request with the same claim
// must not disturb the first, so it is rejected here.
func (c *core) arrive(e arriveEvent) {
	if _, dup := c.waiting[e.seq]; dup {
		e.reply <- verdictReject
		return
	}
	c.waiting[e.seq] = e.reply
	c.feed(sched.ArriveMsg{Now: c.now(), Seq: e.seq, Key: e.key, Remaining: e.left, OldestAge: e.oldest})
}

// abandon forgets a request that waits to start. Another one with the same
// claim is not its business.
func (c *core) abandon(e abandonEvent) {
	if c.waiting[e.seq] != e.reply {
		return // it has its verdict
	}
	delete(c.waiting, e.seq)
	c.feed(sched.EndMsg{Now: c.now(), Seq: e.seq})
	e.reply <- verdictReject
}

func (c *core) setServing(serving bool) {
	if serving != c.serving {
		c.log.Info().Bool("serving", serving).Msg("backend server's health changed")
	}
	c.serving = serving
	c.heartbeat() // first, for routers take no word of idle slots from an agent that does not serve
	c.feed(sched.HealthMsg{Now: c.now(), Serving: serving && !c.leaving})
}

// leave stops the taking of new work and tells every router.
func (c *core) leave() {
	c.leaving = true
	c.feed(sched.LeaveMsg{Now: c.now()})
	c.heartbeat()
}

func (c *core) checkLeft() {
	if !c.leaving || c.machine.Busy() {
		return
	}
	select {
	case <-c.left:
	default:
		close(c.left)
	}
}

// adopted puts a bundle in force here.
func (c *core) adopted(f bundle.Active) {
	c.inForce = f
	c.pullAgain = 0
	b := f.Bundle.WithDefaults()
	c.feed(sched.ConfigMsg{Now: c.now(), Config: configOf(b, c.settings.Name)})
	c.setPools(b)
	c.bundles(f)
	c.heartbeat()
	c.log.Info().Uint64("generation", uint64(f.Generation())).Str("digest", string(f.Order.Digest)).Msg("bundle in force")
}
