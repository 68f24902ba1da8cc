package router

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/adopt"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/process"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/wire"
	"github.com/phuslu/log"
)

// pullTimeout is how long a bundle that was asked for may take before another
// peer is asked.
const pullTimeout = 500 * time.Millisecond

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
	keys    *once.Coordinator
	inForce bundle.Active
	patches bundle.Patches
	policy  bundle.Policy
	servers map[fleet.Name]bundle.Server
	hosts   []objectapi.Host
	duty    duty
	// linked remembers, for the routers and the number of links that it was
	// worked out for, which servers this router links to.
	linked    map[fleet.Name]bool
	linkedFor int
	peers     map[fleet.Name]*peer
	open      map[queue.RequestID]*openRequest
	leaving   bool
	pulse     process.Pulse
	pullAgain time.Duration // when another peer may be asked for a bundle
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
	tick := time.NewTicker(queue.TickInterval)
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
			c.feedKeys(once.TickMsg{Now: c.now()})
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
			return wire.Demand{Rows: conn.SpellCounts(cmd.Counts)}
		})
	case queue.DenyCmd:
		c.send(cmd.Claim.Agent, func(conn *link.Conn) wire.Message {
			return wire.Deny{Seq: cmd.Claim.Seq, Row: conn.SpellCount(cmd.Count)}
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

func (c *core) onEvent(e event) {
	switch e := e.(type) {
	case arriveEvent:
		c.arrive(e)
	case answerEvent:
		c.feed(queue.ResponseStartedMsg{Now: c.now(), ID: e.id})
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

// adopted puts a bundle in force here.
func (c *core) adopted(p prepared) {
	f := p.inForce
	c.inForce = f
	c.pullAgain = 0
	c.patches.SetCurrent(f)
	c.policy = p.bundle.Policy
	c.servers = p.servers
	c.feed(queue.ConfigMsg{Now: c.now(), Config: p.config})
	c.admit(p.table)
	c.reshape()
	c.refreshAgents()
	c.heartbeat()
	c.log.Info().Uint64("generation", uint64(f.Generation())).Str("digest", string(f.Order.Digest)).Msg("bundle in force")
}
