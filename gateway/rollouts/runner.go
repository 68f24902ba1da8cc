package rollouts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/rollout"
	"golang.org/x/time/rate"
)

// droppedLogInterval is the time between two lines on answers that were dropped.
const droppedLogInterval = time.Second

// Decisions is the decisions on requests, which the gates bind.
type Decisions interface {
	// Now is the time since the router's start.
	Now() time.Duration
	// Update tells them something, such as a gate.
	Update(msg direct.Msg)
	// AllOldRunning counts the requests at servers of old versions, by service.
	AllOldRunning() map[string]int
	// RequestCounts counts the requests that came since services began to move, by service.
	RequestCounts() map[string]int
}

// Peers are the other routers.
type Peers interface {
	// Leads tells whether this router is the one that raises stages and writes.
	Leads() bool
	// Routers counts the routers that are there, this one included.
	Routers() int
}

// Options are what a Runner stands on.
type Options struct {
	Bounds    rollout.Bounds
	Decisions Decisions
	Store     Store
	Log       *eventlog.Log
	Stats     *stats.Stats
}

// Runner runs the decisions on roll-outs. Feeds, requests and the other routers put messages
// into its queue; one goroutine alone hands them to the machine.
type Runner struct {
	o     Options
	queue *queue
	// mu guards the machine, orders and records. It is held while these are put into the
	// queue, so that the machine is told of them in the order in which they came.
	mu             sync.Mutex
	machine        *rollout.Machine
	orders         objectView[rollout.Order]
	records        objectView[rollout.Record]
	readiness      readiness
	unloggedDrops  int64         // answers, since the last line
	dropLogLimiter *rate.Limiter // on dropped answers
	// complete is the result of readiness once it is true, for other goroutines.
	complete atomic.Bool
}

// NewRunner returns a runner that knows nothing yet.
func NewRunner(o Options) *Runner {
	return &Runner{
		o: o, queue: newQueue(),
		machine: rollout.NewMachine(o.Bounds),
		orders: objectView[rollout.Order]{
			service:  func(order rollout.Order) string { return order.Service },
			revision: func(order rollout.Order) uint64 { return order.Revision },
		},
		records: objectView[rollout.Record]{
			service:  func(record rollout.Record) string { return record.Service },
			revision: func(record rollout.Record) uint64 { return record.Revision },
		},
		dropLogLimiter: rate.NewLimiter(rate.Every(droppedLogInterval), 1),
	}
}

// Enqueue tells the machine something. It never waits.
func (r *Runner) Enqueue(msg rollout.Msg) { r.queue.put(msg) }

// TakeOrders takes newer orders in.
func (r *Runner) TakeOrders(l feed.Listing[rollout.Order]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.OrdersMsg{Now: r.o.Decisions.Now(), Orders: r.orders.applyListing(l)})
}

// TakeRecords takes newer records in.
func (r *Runner) TakeRecords(l feed.Listing[rollout.Record]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.RecordsMsg{Now: r.o.Decisions.Now(), Wall: time.Now(), Records: r.records.applyListing(l)})
}

// TakeVersions takes in which versions the listed servers have.
func (r *Runner) TakeVersions(services map[string][]string) {
	r.queue.put(rollout.VersionsMsg{Now: r.o.Decisions.Now(), Services: services})
}

// Complete tells whether every service that had servers when this router came to know
// orders and records has had a gate: before that, some would serve nobody.
func (r *Runner) Complete() bool { return r.complete.Load() }

// Reports returns what this router tells the others of roll-outs under way.
func (r *Runner) Reports() []rollout.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Reports()
}

// Snapshots returns what this router knows of versions and roll-outs, for dumps.
func (r *Runner) Snapshots() []rollout.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Snapshots()
}

// Run hands queued messages and ticks to the machine, until ctx ends.
func (r *Runner) Run(ctx context.Context, peers Peers) error {
	ticker := time.NewTicker(rollout.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.queue.wake:
			r.handleQueued(ctx)
		case <-ticker.C:
			r.handleQueued(ctx)
			r.update(ctx, rollout.TickMsg{
				Now: r.o.Decisions.Now(), Wall: time.Now(), Leads: peers.Leads(), Routers: peers.Routers(),
				OldRunning: r.o.Decisions.AllOldRunning(), Requests: r.o.Decisions.RequestCounts(),
			})
		}
	}
}

func (r *Runner) handleQueued(ctx context.Context) {
	waiting, dropped := r.queue.take()
	for _, msg := range waiting {
		if response, ok := msg.(rollout.ResponseMsg); ok {
			r.o.Stats.RolloutResponse(response.Target, response.Bad)
		}
		r.update(ctx, msg)
	}
	r.logDropped(dropped)
}

// update tells the machine something and carries out its commands.
func (r *Runner) update(ctx context.Context, msg rollout.Msg) {
	r.mu.Lock()
	cmds := r.machine.Update(msg)
	r.mu.Unlock()
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case rollout.GateCmd:
			r.o.Decisions.Update(direct.GateMsg{Now: r.o.Decisions.Now(), Gate: cmd.Gate})
			r.readiness.recordGate(cmd.Gate.Service)
		case rollout.WriteCmd:
			go r.write(ctx, cmd)
		case rollout.StepCmd:
			r.o.Stats.RolloutStep(cmd.Step)
			r.logStep(cmd)
		}
	}
	r.readiness.observe(msg)
	if !r.complete.Load() && r.readiness.complete() {
		r.complete.Store(true)
	}
}
