package router

import (
	"context"
	"fmt"
	"time"

	"github.com/croftvale/croftvale/adopt"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/platform"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/wire"
	"github.com/phuslu/log"
)

// pullTimeout is how long a bundle that was asked for may take before another
// peer is asked.
const pullTimeout = time.Second

// core owns the router's state. Only its own goroutine touches it.
type core struct {
	settings    settings.Router
	log         *log.Logger
	now         func() time.Duration
	incarnation fleet.Incarnation
	events      chan event
	links       chan link.Event
	meter       *link.Meter
	keeper      *adopt.Keeper
	dialer      *dialer
	platform    *watcher
	admit       func(*table) // lets requests in under a table

	queue   *queue.Machine
	hub     *ledger.Hub
	keys    *once.Asker
	inForce bundle.InForce
	patches bundle.Patches
	policy  bundle.Policy
	servers map[fleet.Name]bundle.Server
	hosts   []platform.Host
	duty    duty
	// linked remembers, for the routers and the number of links that it was
	// worked out for, which servers this router links to.
	linked     map[fleet.Name]bool
	linkedFor  int
	peers      map[fleet.Name]*peer
	open       map[queue.RequestID]*openRequest
	leaving    bool
	aliveEvery time.Duration // between two signs of life on a quiet link
	pullAgain  time.Duration // when another peer may be asked for a bundle
}

// peer is a link to another process and what it last said of itself.
type peer struct {
	conn  *link.Conn
	last  wire.Heartbeat
	hub   bool // this router is a hub for the peer
	shape peerShape
}

// peerShape is what the hub has been told of another router.
type peerShape struct {
	known bool
	pair  bool // this router sends it its hall's totals
}

// openRequest is a request without a final answer.
type openRequest struct {
	reply  chan<- decision
	abort  chan struct{}  // closed to give up the run under way; nil while waiting
	parked *queue.Request // waits for the owners of its key
	keyed  bool           // holds an idempotency key
}

// run feeds the machines until ctx ends.
func (c *core) run(ctx context.Context) {
	tick := time.NewTicker(queue.TickEvery)
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
			c.feed(queue.TickMsg{Now: c.now()})
			c.feedKeys(once.AskTickMsg{Now: c.now()})
			c.feedHub(ledger.TickMsg{Now: c.now(), ShareEvery: time.Duration(c.policy.ShareEvery)})
		case <-beat.C:
			c.keepAlive()
		}
	}
}

// feed gives the request machine one message and carries out what it wants.
func (c *core) feed(m queue.Msg) {
	for _, cmd := range c.queue.Update(m) {
		c.perform(cmd)
	}
}

func (c *core) perform(cmd queue.Command) {
	switch cmd := cmd.(type) {
	case queue.DemandCmd:
		c.send(cmd.Agent, func(conn *link.Conn) wire.Message {
			return wire.Demand{Rows: demandRows(conn, cmd.Counts)}
		})
	case queue.DenyCmd:
		c.send(cmd.Claim.Agent, func(conn *link.Conn) wire.Message {
			return wire.Deny{Seq: cmd.Claim.Seq, Row: demandRow(conn, cmd.Count)}
		})
	case queue.RunCmd:
		c.runRequest(cmd)
	case queue.AbortCmd:
		c.abort(cmd.ID)
	case queue.RefuseCmd:
		c.decide(cmd.ID, decision{refuse: &cmd})
		c.freeKey(cmd.ID, cmd.Ran)
		delete(c.open, cmd.ID)
	}
}

// send spells a message for a peer's link and sends it, if the link stands.
func (c *core) send(name fleet.Name, spell func(*link.Conn) wire.Message) {
	if p, ok := c.peers[name]; ok {
		p.conn.SendNamed(spell(p.conn))
	}
}

// runRequest sends a request's goroutine to the agent that claimed it.
func (c *core) runRequest(cmd queue.RunCmd) {
	r, ok := c.open[cmd.ID]
	if !ok {
		return
	}
	r.abort = make(chan struct{})
	c.decide(cmd.ID, decision{run: &grant{
		claim: cmd.Claim.String(),
		serve: c.servers[cmd.Claim.Agent].Serve.String(),
		left:  leftOf(cmd.Left),
		abort: r.abort,
	}})
}

// leftOf spells what is left of a line for the header of a granted request.
func leftOf(left queue.Count) string {
	return fmt.Sprintf("%d/%d", left.Waiting, left.OldestAge/time.Millisecond)
}

func (c *core) abort(id queue.RequestID) {
	r, ok := c.open[id]
	if !ok || r.abort == nil {
		return
	}
	close(r.abort)
	r.abort = nil
}

// decide tells a request's goroutine what to do. There is always room: no
// second decision comes before the goroutine has answered the first.
func (c *core) decide(id queue.RequestID, d decision) {
	if r, ok := c.open[id]; ok {
		r.reply <- d
	}
}

func (c *core) onEvent(e event) {
	switch e := e.(type) {
	case arriveEvent:
		c.arrive(e)
	case answerEvent:
		c.feed(queue.AnswerMsg{Now: c.now(), ID: e.id})
	case endEvent:
		c.ended(e)
	case cancelEvent:
		c.cancel(e.id)
	case bundleEvent:
		c.adopted(e.prepared)
	case hostsEvent:
		c.hosts = e.hosts
		c.reshape()
	case leaveEvent:
		c.leaving = true
		c.heartbeat()
	case stateEvent:
		e.reply <- c.state()
	}
}

func (c *core) arrive(e arriveEvent) {
	c.open[e.request.ID] = &openRequest{reply: e.reply}
	if e.idempotency != nil {
		c.askKey(e)
		return
	}
	c.feed(queue.ArriveMsg{Now: c.now(), Request: e.request})
}

// cancel drops a request whose caller has hung up. One that waits has not run;
// of one that runs the call itself says when it has ended.
func (c *core) cancel(id queue.RequestID) {
	if r, ok := c.open[id]; ok && r.parked != nil {
		r.parked = nil
		c.feedKeys(once.NotRunMsg{Now: c.now(), Request: uint64(id)})
	}
	c.feed(queue.CancelMsg{Now: c.now(), ID: id})
	if !c.queue.Holds(id) {
		c.freeKey(id, queue.RanNo)
		delete(c.open, id)
	}
}

func (c *core) ended(e endEvent) {
	if r, ok := c.open[e.id]; ok {
		r.abort = nil
	}
	c.feed(queue.EndMsg{Now: c.now(), ID: e.id, Outcome: e.outcome})
	c.forget(e.id)
}

// forget drops a request that the machine no longer holds.
func (c *core) forget(id queue.RequestID) {
	if !c.queue.Holds(id) {
		c.freeKey(id, queue.RanYes)
		delete(c.open, id)
	}
}

// adopted puts a bundle in force here.
func (c *core) adopted(p prepared) {
	f := p.inForce
	c.inForce = f
	c.pullAgain = 0
	c.patches.Adopted(f)
	c.policy = p.bundle.Policy
	c.servers = p.servers
	c.feed(queue.ConfigMsg{Now: c.now(), Config: p.config})
	c.admit(p.table)
	c.reshape()
	c.refreshAgents()
	c.heartbeat()
	c.log.Info().Uint64("generation", uint64(f.Generation())).Str("digest", string(f.Order.Digest)).Msg("bundle in force")
}

func (c *core) hello() wire.Hello {
	return wire.Hello{
		Name: c.settings.Name, Role: wire.RoleRouter, Hall: c.settings.Hall,
		Incarnation: c.incarnation,
	}
}

// keepAlive gives a sign of life on links that carry nothing else, and asks
// again for a bundle that a peer has and this process has not.
func (c *core) keepAlive() {
	for _, p := range c.peers {
		c.pullFrom(p)
	}
	every := link.AliveEvery(len(c.peers))
	if every != c.aliveEvery {
		c.aliveEvery = every
		c.heartbeat()
		return
	}
	for _, p := range c.peers {
		if p.conn.Quiet(every) {
			p.conn.Send(wire.Alive{})
		}
	}
}

// heartbeat tells every peer at once that something has changed.
func (c *core) heartbeat() {
	for _, p := range c.peers {
		p.conn.Send(c.beat(p))
	}
}

func (c *core) beat(p *peer) wire.Heartbeat {
	return wire.Heartbeat{
		Generation: c.inForce.Generation(), Leaving: c.leaving, Serving: true, Hub: p.hub,
		Every: uint32(c.aliveEvery / time.Millisecond),
	}
}
