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

// droppedLogInterval is the minimum time between two log lines on dropped responses.
const droppedLogInterval = time.Second

// StateMachine routes requests and applies the gates of rollouts to them.
type StateMachine interface {
	// Now returns the time since the router started.
	Now() time.Duration
	// Update passes a message, such as a gate, to the state machine.
	Update(msg direct.Msg)
	// AllOldRunning returns the number of requests running at servers of old versions, by service.
	AllOldRunning() map[string]int
	// RequestCounts returns the number of requests since the start of each rollout, by service.
	RequestCounts() map[string]int
}

// Peers are the other routers.
type Peers interface {
	// Leads reports whether this router is the leader, which raises stages and writes to the
	// store.
	Leads() bool
	// Routers returns the number of live routers, this one included.
	Routers() int
}

// Options holds the bounds and dependencies of a Runner.
type Options struct {
	Bounds       rollout.Bounds
	StateMachine StateMachine
	Store        Store
	Log          *eventlog.Log
	Stats        *stats.Stats
}

// Runner runs the rollout state machine. Feeds, requests and peers put messages into its queue;
// a single goroutine passes them to the machine.
type Runner struct {
	o     Options
	queue *queue
	// mu guards the machine, orders and records. It is held while orders and records are put
	// into the queue, so that the machine receives them in the order of arrival.
	mu             sync.Mutex
	machine        *rollout.Machine
	orders         objectView[rollout.Order]
	records        objectView[rollout.Record]
	readiness      readiness
	unloggedDrops  int64         // dropped responses since the last log line
	dropLogLimiter *rate.Limiter // limits log lines on dropped responses
	// complete is set once readiness is complete, for use by other goroutines.
	complete atomic.Bool
}

// NewRunner returns a runner without orders, records or versions.
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

// Enqueue queues a message for the machine. It never blocks.
func (r *Runner) Enqueue(msg rollout.Msg) { r.queue.put(msg) }

// SetOrders applies a newer listing of orders.
func (r *Runner) SetOrders(l feed.Listing[rollout.Order]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.OrdersMsg{Now: r.o.StateMachine.Now(), Orders: r.orders.applyListing(l)})
}

// SetRecords applies a newer listing of records.
func (r *Runner) SetRecords(l feed.Listing[rollout.Record]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.RecordsMsg{Now: r.o.StateMachine.Now(), Wall: time.Now(), Records: r.records.applyListing(l)})
}

// SetVersions passes on the versions of the listed servers, by service.
func (r *Runner) SetVersions(services map[string][]string) {
	r.queue.put(rollout.VersionsMsg{Now: r.o.StateMachine.Now(), Services: services})
}

// Complete reports whether orders, records and versions have arrived and every service with
// servers has a gate. Before that, some services would serve no request. Once true, it stays true.
func (r *Runner) Complete() bool { return r.complete.Load() }

// Reports returns this router's reports to its peers on the rollouts in progress.
func (r *Runner) Reports() []rollout.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Reports()
}

// Snapshots returns the state of versions and rollouts in this router, for dumps.
func (r *Runner) Snapshots() []rollout.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Snapshots()
}

// Run passes queued messages and ticks to the machine until ctx ends.
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
				Now: r.o.StateMachine.Now(), Wall: time.Now(), Leads: peers.Leads(), Routers: peers.Routers(),
				OldRunning: r.o.StateMachine.AllOldRunning(), Requests: r.o.StateMachine.RequestCounts(),
			})
		}
	}
}

func (r *Runner) handleQueued(ctx context.Context) {
	messages, dropped := r.queue.take()
	for _, msg := range messages {
		if response, ok := msg.(rollout.ResponseMsg); ok {
			r.o.Stats.RolloutResponse(response.Target, response.Bad)
		}
		r.update(ctx, msg)
	}
	r.logDropped(dropped)
}

// update passes a message to the machine and carries out the commands that it returns.
func (r *Runner) update(ctx context.Context, msg rollout.Msg) {
	r.mu.Lock()
	cmds := r.machine.Update(msg)
	r.mu.Unlock()
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case rollout.GateCmd:
			r.o.StateMachine.Update(direct.GateMsg{Now: r.o.StateMachine.Now(), Gate: cmd.Gate})
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
