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

// pullTimeout is the time after which an unanswered bundle pull may be repeated
// with another peer.
const pullTimeout = 500 * time.Millisecond

// core owns the router's state and runs its event loop. Only the loop's
// goroutine accesses the state.
type core struct {
	settings     settings.Router
	log          *log.Logger
	now          func() time.Duration
	incarnation  fleet.Incarnation
	events       chan event
	links        chan link.Event
	meter        *link.Meter
	adopter      *adopt.Runner
	dialer       *dialer
	platform     *platformWatcher
	publishTable func(*routingTable) // makes a table the one that new requests use

	queue      *queue.Machine
	hub        *ledger.Hub
	keys       *once.Coordinator
	active     bundle.Active
	patches    bundle.Patches
	policy     bundle.Policy
	servers    map[fleet.Name]bundle.Server
	hosts      []objectapi.Host
	assignment hubAssignment
	// linkCache holds, by server, the results of the rendezvous hashing in shouldLink.
	// It is valid for assignment.routers and cachedLinksPerServer.
	linkCache            map[fleet.Name]bool
	cachedLinksPerServer int // the policy's LinksPerServer when linkCache was reset
	peers                map[fleet.Name]*peer
	requests             map[queue.RequestID]*openRequest
	leaving              bool
	pulse                process.Pulse
	nextPull             time.Duration // earliest time of the next bundle pull
}

// peer holds a link to another process and the last heartbeat received on it.
type peer struct {
	conn          *link.Conn
	lastHeartbeat wire.Heartbeat
	hubFor        bool // this router is a hub for the peer
	hubState      hubPeerState
}

// hubPeerState holds what the hub was last sent about another router.
type hubPeerState struct {
	registered bool
	paired     bool // this router sends the totals of its hall to the peer
}

// openRequest is a request that has had no final response yet.
type openRequest struct {
	reply       chan<- decision
	abort       chan struct{}  // closed to abort the current run; nil if none runs
	awaitingKey *queue.Request // not queued until the key is reserved; nil otherwise
	holdsKey    bool           // the request has reserved its idempotency key
}

// run is the event loop. It passes link events, request events and ticks to the
// state machines until ctx ends.
func (c *core) run(ctx context.Context) {
	tick := time.NewTicker(queue.TickInterval)
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
			c.updateQueue(queue.TickMsg{Now: c.now()})
			c.updateKeys(once.TickMsg{Now: c.now()})
			c.updateHub(ledger.TickMsg{Now: c.now(), ShareEvery: time.Duration(c.policy.ShareEvery)})
		case <-heartbeat.C:
			c.keepAlive()
		}
	}
}

// updateQueue passes a message to the queue and executes the commands that it
// returns.
func (c *core) updateQueue(m queue.Msg) {
	for _, cmd := range c.queue.Update(m) {
		c.executeQueueCmd(cmd)
	}
}

func (c *core) executeQueueCmd(cmd queue.Command) {
	switch cmd := cmd.(type) {
	case queue.DemandCmd:
		c.send(cmd.Agent, func(conn *link.Conn) wire.Message {
			return wire.Demand{Rows: conn.EncodeCounts(cmd.Counts)}
		})
	case queue.DenyCmd:
		c.send(cmd.Claim.Agent, func(conn *link.Conn) wire.Message {
			return wire.Deny{Seq: cmd.Claim.Seq, Row: conn.EncodeCount(cmd.Count)}
		})
	case queue.RunCmd:
		c.runRequest(cmd)
	case queue.AbortCmd:
		c.abort(cmd.ID)
	case queue.RefuseCmd:
		c.decide(cmd.ID, decision{refuse: &cmd})
		c.finishKey(cmd.ID, cmd.Ran)
		delete(c.requests, cmd.ID)
	}
}

// send encodes a message for a peer's link and sends it. It does nothing if the
// peer has no link.
func (c *core) send(name fleet.Name, encode func(*link.Conn) wire.Message) {
	if p, ok := c.peers[name]; ok {
		p.conn.SendNamed(encode(p.conn))
	}
}

func (c *core) onEvent(e event) {
	switch e := e.(type) {
	case requestEvent:
		c.onRequest(e)
	case responseStartedEvent:
		c.updateQueue(queue.ResponseStartedMsg{Now: c.now(), ID: e.id})
	case runEndEvent:
		c.onRunEnd(e)
	case cancelEvent:
		c.cancel(e.id)
	case bundleEvent:
		c.applyBundle(e.prepared)
	case hostsEvent:
		c.hosts = e.hosts
		c.updateTopology()
	case shutdownEvent:
		c.leaving = true
		c.broadcastHeartbeat()
	case stateEvent:
		e.reply <- c.state()
	}
}

// applyBundle activates a bundle for the core and for new requests.
func (c *core) applyBundle(p preparedBundle) {
	active := p.active
	c.active = active
	c.nextPull = 0
	c.patches.SetCurrent(active)
	c.policy = p.bundle.Policy
	c.servers = p.servers
	c.updateQueue(queue.ConfigMsg{Now: c.now(), Config: p.config})
	c.publishTable(p.table)
	c.updateTopology()
	c.refreshAgents()
	c.broadcastHeartbeat()
	c.log.Info().Uint64("generation", uint64(active.Generation())).Str("digest", string(active.Order.Digest)).Msg("bundle activated")
}
