package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/origin"
)

// Origins executes the commands of an origin.Machine: it tells which version began a stream.
type Origins struct {
	self    string
	conn    *transport
	peers   *Peers
	place   traffic.Place
	deps    Dependencies
	mu      sync.Mutex
	machine *origin.Machine
	paths   map[string]traffic.Path             // by address, to the routers that keep records
	waiting map[uint64]chan<- origin.Resolution // lookups in progress
	holds   map[uint64]chan<- bool              // in progress
	lastID  uint64
	wake    chan struct{} // signals that the machine is no longer idle
	store   chan struct{} // signals that there are streams to store
	// serversRevision is the revision of the list of servers that the machine knows.
	serversRevision uint64
}

func newOrigins(s Settings, conn *transport, p *Peers, deps Dependencies) *Origins {
	self := origin.Router{Address: s.Self.Address, Hall: s.Hall, Region: s.Region, Start: s.startNanos}
	return &Origins{
		self: s.Self.Address, conn: conn, peers: p, place: s.place(), deps: deps,
		machine: origin.NewMachine(self, s.FirstStart), waiting: make(map[uint64]chan<- origin.Resolution), holds: make(map[uint64]chan<- bool), wake: make(chan struct{}, 1),
		store: make(chan struct{}, 1),
	}
}

// Begun records that the caller of a stream is about to get its first event.
func (o *Origins) Begun(service string, r origin.Record) {
	o.update(origin.BegunMsg{Now: o.deps.StateMachine.Now(), Service: service, Record: r})
}

// Hold records that a stream is about to begin at a server which has restarted since its entry, and reports whether
// other routers hold the record, so that none takes the stream for one of the listed version.
func (o *Origins) Hold(ctx context.Context, service string, key origin.Key, lifetime, timeout time.Duration) bool {
	result := make(chan bool, 1)
	contact := o.peers.contact()
	o.mu.Lock()
	o.updateVersions()
	o.lastID++
	id := o.lastID
	o.holds[id] = result
	o.execute(o.machine.Update(origin.HoldMsg{Now: o.deps.StateMachine.Now(), ID: id, Service: service, Key: key, Lifetime: lifetime, Timeout: timeout, Contact: contact}))
	o.wakeUp()
	o.mu.Unlock()
	select {
	case held := <-result:
		return held
	case <-ctx.Done():
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.holds, id)
		return false
	}
}

// MetUnlisted records that a server accepts connections as a start that no entry names.
func (o *Origins) MetUnlisted(service, start string) {
	o.update(origin.UnlistedStartMsg{Now: o.deps.StateMachine.Now(), Service: service, Start: start})
}

// Ended records that a stream has been delivered to its end.
func (o *Origins) Ended(key origin.Key) { o.update(origin.EndedMsg{Key: key}) }

// Leave hands the records over to other routers before this one ends.
func (o *Origins) Leave() { o.update(origin.LeaveMsg{Now: o.deps.StateMachine.Now()}) }

// Lookup returns what is known of the version that began a stream. It takes a few milliseconds, or
// origin.LookupTimeout at most.
func (o *Origins) Lookup(ctx context.Context, service string, key origin.Key) origin.Resolution {
	result := make(chan origin.Resolution, 1)
	contact := o.peers.contact()
	o.mu.Lock()
	o.updateVersions()
	o.lastID++
	id := o.lastID
	o.waiting[id] = result
	o.execute(o.machine.Update(origin.LookupMsg{Now: o.deps.StateMachine.Now(), ID: id, Service: service, Key: key, Contact: contact}))
	o.wakeUp()
	o.mu.Unlock()
	select {
	case resolution := <-result:
		return resolution
	case <-ctx.Done():
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.waiting, id)
		return origin.Resolution{}
	}
}

// contactLost reports that this router is in touch neither with the source nor with most others.
func (o *Origins) contactLost(now time.Duration) { o.update(origin.ContactLostMsg{Now: now}) }

// setRouters sets the other live routers that keep records.
func (o *Origins) setRouters(routers []origin.Router) {
	paths := make(map[string]traffic.Path, len(routers))
	for _, r := range routers {
		paths[r.Address] = o.place.PathTo(traffic.Place{Hall: r.Hall, Region: r.Region})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paths = paths
	o.updateVersions() // each new list starts a round of heartbeats
	o.execute(o.machine.Update(origin.RoutersMsg{Routers: routers}))
	o.wakeUp()
}

// tick sends ticks to the machine until ctx ends.
func (o *Origins) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		if o.idle() {
			wait.Until(ctx, o.wake, origin.IdleInterval)
		}
		wait.Sleep(ctx, origin.TickInterval)
		o.update(origin.TickMsg{Now: o.deps.StateMachine.Now()})
	}
	return nil
}

func (o *Origins) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.Idle()
}

// receive handles datagrams until ctx ends.
func (o *Origins) receive(ctx context.Context) error { return o.conn.receive(ctx, o.handle) }

// handle handles one datagram.
func (o *Origins) handle(body []byte) error {
	m, err := decodeOrigin(body)
	if err != nil {
		return err
	}
	records, err := m.records()
	if err != nil {
		return err
	}
	now := o.deps.StateMachine.Now()
	if len(records) > 0 {
		o.update(origin.RecordsMsg{Now: now, Records: records})
	}
	if q := m.Query; q != nil {
		o.update(origin.QueryMsg{Now: now, From: m.From, Query: origin.Query{Number: q.Number, Service: q.Service, Key: origin.Key(q.Key)}})
	}
	if a := m.Answer; a != nil {
		o.update(origin.AnswerMsg{Now: now, From: m.From, Answer: a.unpack()})
	}
	return nil
}

// update passes a message to the machine and executes its commands.
func (o *Origins) update(msg origin.Msg) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateVersions()
	o.execute(o.machine.Update(msg))
	o.wakeUp()
}

// wakeUp ends the wait of an idle machine that has something to do. o.mu must be held.
func (o *Origins) wakeUp() {
	if !o.machine.Idle() {
		notify(o.wake)
	}
}

// updateVersions tells the machine the versions of a newer list of servers. o.mu must be held.
func (o *Origins) updateVersions() {
	list := o.deps.Feeds.Servers.Newest()
	if list == nil || list.Revision == o.serversRevision {
		return
	}
	o.serversRevision = list.Revision
	o.execute(o.machine.Update(origin.ListedMsg{Now: o.deps.StateMachine.Now(), Services: listedVersions(list.Servers), Servers: serverIDs(list.Servers)}))
}

// serverIDs returns the IDs of the servers.
func serverIDs(servers []direct.Server) []string {
	out := make([]string, 0, len(servers))
	for _, s := range servers {
		out = append(out, s.ID)
	}
	return out
}

// listedVersions returns the versions of the servers, by service.
func listedVersions(servers []direct.Server) map[string][]string {
	out := make(map[string][]string)
	for _, s := range servers {
		if !slices.Contains(out[s.Service], s.Version) {
			out[s.Service] = append(out[s.Service], s.Version)
		}
	}
	return out
}

// execute executes commands. o.mu must be held.
func (o *Origins) execute(cmds []origin.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case origin.RecordsCmd:
			o.send(cmd.To, packOriginRecords(cmd.Records))
		case origin.QueryCmd:
			q := cmd.Query
			o.send(cmd.To, originMessage{From: o.self, Query: &originQuery{Number: q.Number, Service: q.Service, Key: uint64(q.Key)}})
		case origin.AnswerCmd:
			o.send(cmd.To, originMessage{From: o.self, Answer: packOriginAnswer(cmd.Answer)})
		case origin.ReadStoredCmd:
			go o.readStored(cmd.Servers)
		case origin.StoreStreamsCmd:
			notify(o.store)
		case origin.ResolvedCmd:
			if result := o.waiting[cmd.ID]; result != nil {
				delete(o.waiting, cmd.ID)
				result <- cmd.Resolution
			}
		case origin.HeldCmd:
			if result := o.holds[cmd.ID]; result != nil {
				delete(o.holds, cmd.ID)
				result <- cmd.Held
			}
		}
	}
}

// send sends a message to another router.
func (o *Origins) send(to string, m originMessage) {
	body, err := encodeOrigin(m)
	if err != nil {
		o.deps.Stats.DatagramFailed()
		return
	}
	path, ok := o.paths[to]
	if !ok {
		path = traffic.BetweenHalls // of a router that no longer counts as live, or not yet
	}
	o.conn.send(to, path, body)
}
