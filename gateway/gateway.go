package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/admin"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/cluster"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/memory"
	"github.com/croftvale/croftvale/gateway/rollouts"
	"github.com/croftvale/croftvale/gateway/sendqueue"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	dialTimeout          = 300 * time.Millisecond
	serverSilenceTimeout = 3 * time.Second // a connection whose server acknowledges nothing for so long fails
	maxIdlePerServer     = 64
	sweepInterval        = time.Second
	vitalsInterval       = 2 * time.Second
	maxLoggedTeams       = 4
	maxHeaderBytes       = 32 << 10
	headerTimeout        = 5 * time.Second
	defaultIdleTimeout   = 120 * time.Second
	// heldMemoryDivisor bounds callers' bodies and unread responses to one eighth of the
	// memory. With the copies that are made as buffers grow, and their garbage, they take
	// up to three times that.
	heldMemoryDivisor   = 8
	memoryLimitFraction = 0.6 // of the memory, above which the garbage collector works harder
)

// Gateway is a router.
type Gateway struct {
	settings Settings
	source   Source
	dialect  Dialect
	log      *eventlog.Log
	core     *core
	feeds    *feed.Set
	rollouts *rollouts.Runner // nil: rollouts are disabled
	front    *front
	stats    *stats.Stats
	traffic  *traffic.Counter
	cluster  *cluster.Cluster
	puller   *feed.Puller
	admin    *admin.Server
	server   *http.Server
	grace    atomic.Int64 // nanoseconds; changes on reload
}

// New returns a gateway that logs to out.
func New(s Settings, source Source, dialect Dialect, out io.Writer) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	g := &Gateway{settings: s, source: source, dialect: dialect, log: eventlog.New(out, s.Name)}
	g.grace.Store(int64(s.Grace))
	g.core = newCore(direct.Options{
		Zone: s.Zone, Region: s.Region, HallRegions: s.HallRegions, RetryBudget: s.RetryBudget, Drain: s.MaxDrainTime, DisabledMechanisms: s.DisabledMechanisms,
		Gated: s.RolloutBounds.Enabled(),
	}, g.log)
	g.admin = admin.New(admin.Source{Ready: g.ready, State: g.dump, MetricFailed: g.logMetricFailed})
	g.stats = stats.New(g.admin.Scope())
	g.traffic = traffic.NewCounter(g.admin.Scope())
	if err := g.setUpCluster(); err != nil {
		return nil, err
	}
	queues := sendqueue.NewQueues(memory.NewBudget(s.MemoryBytes/heldMemoryDivisor), g.log.UnreadResponse)
	g.front = &front{
		core: g.core, feeds: g.feeds, dialect: dialect, log: g.log, stats: g.stats,
		pool:       backend.NewPool(backend.Options{DialTimeout: dialTimeout, AckTimeout: serverSilenceTimeout, MaxIdlePerAddress: maxIdlePerServer, Now: g.core.Now}),
		sendQueues: queues, conns: newCallerConns(maxCallers(s.Descriptors), s.Cores, queues), maxEventDelay: s.MaxEventDelay,
		hall: s.Zone, traffic: g.traffic.Meter(traffic.Requests), origins: g.cluster.Origins,
		endProcess: panicOutside,
	}
	g.core.probe = (&prober{core: g.core, pool: g.front.pool}).probe
	g.server = &http.Server{
		Handler: g.front, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout,
		ConnState: g.front.conns.connState, ConnContext: g.front.conns.connContext,
	}
	return g, nil
}

func (g *Gateway) logMetricFailed(err error) { g.log.Event("metric_failed").Err(err).Msg("") }

// setUpCluster creates the feeds, the cluster member and the rollouts, which the router
// shares with other routers.
func (g *Gateway) setUpCluster() error {
	s := g.settings
	feeds := feed.Options{Source: g.source, StateMachine: g.core, Log: g.log, Stats: g.stats, EvacuationDeadline: s.MaxEvacuationTime}
	deps := cluster.Dependencies{
		StateMachine: g.core, Pressure: &g.core.pressure, Registry: g.source, Versions: g.source, ServerList: g.source, Log: g.log, Stats: g.stats, Traffic: g.traffic,
	}
	if s.RolloutBounds.Enabled() {
		g.rollouts = rollouts.NewRunner(rollouts.Options{
			Bounds: s.RolloutBounds, StateMachine: g.core, Store: g.source, Log: g.log, Stats: g.stats,
		})
		g.core.notifyRollouts = g.rollouts.Enqueue
		feeds.Rollouts, deps.Rollouts = g.rollouts, g.rollouts
	}
	g.feeds = feed.NewSet(feeds)
	deps.Feeds = g.feeds
	var err error
	g.cluster, err = cluster.New(s.cluster(), deps)
	if err != nil {
		return err
	}
	g.core.reportNow = g.cluster.ReportNow
	g.puller, err = feed.NewPuller(g.feeds, feed.PullOptions{
		Address: s.Address, ControlAddress: s.ControlAddress, Seeds: s.Seeds, Peers: g.cluster.Peers, Traffic: g.traffic,
	})
	return err
}

// Run serves until ctx ends, and then drains for at most the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.log.Close()
	g.log.Event("start").Str("zone", g.settings.Zone).Str("address", g.settings.Address).Msg("")
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 8)
	if err := g.listen(runCtx, failed); err != nil {
		return err
	}
	g.startTasks(runCtx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.drain()
	g.log.Event("stop").Int64("cut", g.front.active.Load()).Msg("")
	return nil
}

// startTasks starts the background tasks.
func (g *Gateway) startTasks(ctx context.Context) {
	for _, t := range g.tasks() {
		go g.runTask(ctx, t)
	}
}

// tasks returns the background tasks.
func (g *Gateway) tasks() []task {
	leads := g.cluster.Peers.Leads
	tasks := []task{
		{name: "ticks", run: g.core.runTicks},
		{name: "pulls", run: g.puller.Run, restartable: true},
		{name: "sweeps", run: g.runSweeps, restartable: true},
		{name: "vitals", run: g.logVitals, restartable: true},
		{name: "record_versions", run: newVersionRecorder(g.cluster.Origins, g.source, leads, g.feeds.Era, g.log).run},
		{name: "record_streams", run: g.newStreamRecorder().run},
	}
	for _, run := range g.cluster.Tasks() {
		tasks = append(tasks, task{name: "cluster", run: run})
	}
	for _, f := range g.feeds.Followed() {
		follow := func(ctx context.Context) error { return g.feeds.Follow(ctx, f, g.cluster.Peers) }
		tasks = append(tasks, task{name: "follow_" + f.Spec().Name, run: follow, restartable: true})
	}
	if g.core.disabled.Enabled(direct.Quarantine) {
		record := newQuarantineRecorder(g.core, g.source, leads, g.feeds.Era, g.log).run
		tasks = append(tasks, task{name: "record_quarantine", run: record, restartable: true})
	}
	if g.rollouts != nil {
		tasks = append(tasks, task{name: "rollouts", run: func(ctx context.Context) error { return g.rollouts.Run(ctx, g.cluster.Peers) }})
	}
	return tasks
}

func (g *Gateway) newStreamRecorder() *streamRecorder {
	return &streamRecorder{
		keeper: g.cluster.Origins, store: g.source, router: g.settings.Name,
		routers: g.cluster.Peers.Routers, era: g.feeds.Era, log: g.log,
	}
}

// runSweeps closes connections and drops state that are no longer needed.
func (g *Gateway) runSweeps(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, sweepInterval)
		listed := make(map[string]bool)
		if d := g.feeds.Servers.Newest(); d != nil {
			for _, s := range d.Servers {
				listed[s.Address] = true
			}
		}
		if table := g.feeds.Config.Table(); table != nil {
			g.front.ages.retainRoutes(table.HasRoute)
			g.front.stopping.retainRoutes(table.HasRoute)
		}
		g.front.conns.closeIdle(g.callerIdleTimeout())
		g.front.pool.Sweep(func(address string) bool { return listed[address] })
	}
	return nil
}

// callerIdleTimeout returns how long a caller's connection may be idle. It is somewhat
// longer than the timeout that callers are given, since they may reuse a connection until
// then.
func (g *Gateway) callerIdleTimeout() time.Duration {
	t := g.feeds.Config.Table()
	if t == nil {
		return defaultIdleTimeout
	}
	return t.Config.Limits.IdleTimeout * 5 / 4
}

// logVitals logs the state of the process, the shares of teams, the outcome counts and the
// traffic every few seconds.
func (g *Gateway) logVitals(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, vitalsInterval)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		g.log.Event("vitals").Int64("active", g.front.active.Load()).Int64("held_bytes", g.front.sendQueues.Held()).
			Int64("answers_waiting", g.front.sendQueues.Waiting()).Int64("answers_dropped", g.front.sendQueues.Dropped()).
			Dur("lag", g.core.pressure.Lag()).Float64("shed", g.core.pressure.ShedFraction()).
			Bool("yields", g.core.pressure.Yields()).Int("goroutines", runtime.NumGoroutine()).
			Uint64("heap_bytes", m.HeapInuse).Uint64("stack_bytes", m.StackInuse).Uint32("collections", m.NumGC).
			Int("connections", len(g.front.conns.slots)).
			Int64("connections_unserved", g.front.conns.unserved.Load()).Uint64("lines_dropped", g.log.Dropped()).Msg("")
		g.stats.ConfigAge.RecordDuration(g.feeds.Config.Age())
		g.log.Shares(g.core.shares(maxLoggedTeams))
		g.front.outcomes.log(g.log)
		g.log.Event("traffic").Any("bytes", g.traffic.Sums()).Any("source_calls", g.stats.SourceCalls()).Msg("")
	}
	return nil
}
