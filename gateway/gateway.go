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
	dialTimeout = 300 * time.Millisecond
	silentPeer  = 1200 * time.Millisecond
	maxIdle     = 64
	sweepEvery  = time.Second
	vitalsEvery = 2 * time.Second
	teamsLogged = 4
	headerLimit = 32 << 10
	headerWait  = 5 * time.Second
	idleWait    = 120 * time.Second
	// heldShare is the part of the memory for callers' bodies and unread answers; with copies
	// that are made as they grow, and the garbage of those, they take up to thrice that.
	heldShare   = 8
	memoryShare = 0.6 // of the memory, from which the collector works harder
)

// Gateway is one router.
type Gateway struct {
	settings Settings
	source   Source
	dialect  Dialect
	log      *eventlog.Log
	core     *core
	feeds    *feed.Set
	rollouts *rollouts.Runner // nil: they are not on
	front    *front
	stats    *stats.Stats
	traffic  *traffic.Counter
	cluster  *cluster.Cluster
	puller   *feed.Puller
	admin    *admin.Server
	server   *http.Server
	grace    atomic.Int64 // nanoseconds; changes with the settings
}

// New returns a gateway that logs to out.
func New(s Settings, source Source, dialect Dialect, out io.Writer) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g := &Gateway{settings: s, source: source, dialect: dialect, log: eventlog.New(out, s.Name)}
	g.grace.Store(int64(s.Grace))
	g.core = newCore(direct.Options{
		Zone: s.Zone, Region: s.Region, HallRegions: s.HallRegions, RetryBudget: s.Budget, Drain: s.Drain, DisabledMechanisms: s.Without,
		Gated: s.Rollout.Enabled(),
	}, g.log)
	g.admin = admin.New(admin.Source{Ready: g.ready, State: g.dump})
	g.stats = stats.New(g.admin.Scope())
	g.traffic = traffic.NewCounter(g.admin.Scope())
	if err := g.join(); err != nil {
		return nil, err
	}
	queues := sendqueue.NewQueues(memory.NewBudget(s.MemoryBytes/heldShare), g.log.UnreadResponse)
	g.front = &front{
		core: g.core, feeds: g.feeds, dialect: dialect, log: g.log, stats: g.stats,
		pool:   backend.NewPool(backend.Options{DialTimeout: dialTimeout, SilentPeer: silentPeer, MaxIdle: maxIdle}),
		queues: queues, callers: newCallers(callersMost(s.Descriptors), s.Power, queues), eventDelay: s.EventDelay,
		hall: s.Zone, traffic: g.traffic.Meter(traffic.Requests), movable: s.Rollout.Enabled(),
	}
	g.core.probe = (&prober{core: g.core, pool: g.front.pool}).probe
	g.server = &http.Server{
		Handler: g.front, MaxHeaderBytes: headerLimit, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		ConnState: g.front.callers.state, ConnContext: g.front.callers.context,
	}
	return g, nil
}

// join sets up what the router shares with the others.
func (g *Gateway) join() error {
	s := g.settings
	feeds := feed.Options{Source: g.source, Decisions: g.core, Log: g.log, Stats: g.stats, Evacuate: s.Evacuate}
	parts := cluster.Dependencies{
		Decisions: g.core, Pressure: &g.core.pressure, Registry: g.source, Log: g.log, Stats: g.stats, Traffic: g.traffic,
	}
	if s.Rollout.Enabled() {
		g.rollouts = rollouts.NewRunner(rollouts.Options{
			Bounds: s.Rollout, Decisions: g.core, Store: g.source, Log: g.log, Stats: g.stats,
		})
		g.core.answers = g.rollouts.Enqueue
		feeds.Rollouts, parts.Rollouts = g.rollouts, g.rollouts
	}
	g.feeds = feed.NewSet(feeds)
	parts.Feeds = g.feeds
	var err error
	g.cluster, err = cluster.New(s.cluster(), parts)
	if err != nil {
		return err
	}
	g.core.report = g.cluster.ReportNow
	g.puller, err = feed.NewPuller(g.feeds, feed.PullOptions{
		Address: s.Address, Control: s.Control, Seeds: s.Seeds, Peers: g.cluster.Peers, Traffic: g.traffic,
	})
	return err
}

// Run serves until ctx ends, and then for the grace that callers are given.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.log.Close()
	g.log.Event("start").Str("zone", g.settings.Zone).Str("address", g.settings.Address).Msg("")
	life, end := context.WithCancel(context.Background())
	defer end()
	failed := make(chan error, 8)
	if err := g.listen(life, failed); err != nil {
		return err
	}
	g.duties(life)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.drain()
	g.log.Event("stop").Int64("cut", g.front.active.Load()).Msg("")
	return nil
}

// duties starts what goes on beside the requests.
func (g *Gateway) duties(life context.Context) {
	duties := append(g.cluster.Tasks(), g.core.tick, g.puller.Run, g.sweep, g.vitals)
	for _, f := range g.feeds.Followed() {
		duties = append(duties, func(ctx context.Context) error { return g.feeds.Follow(ctx, f, g.cluster.Peers) })
	}
	if g.core.without.Enabled(direct.Quarantine) {
		duties = append(duties, newKeeper(g.core, g.source, g.cluster.Peers.Leads, g.log).run)
	}
	if g.rollouts != nil {
		duties = append(duties, func(ctx context.Context) error { return g.rollouts.Run(ctx, g.cluster.Peers) })
	}
	for _, duty := range duties {
		go func() {
			if err := duty(life); err != nil {
				g.log.Event("duty_ended").Err(err).Msg("")
			}
		}()
	}
}

// sweep closes connections that are of no more use.
func (g *Gateway) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, sweepEvery)
		wanted := make(map[string]bool)
		if d := g.feeds.Servers.Newest(); d != nil {
			for _, s := range d.Servers {
				wanted[s.Address] = true
			}
		}
		if table := g.feeds.Config.Table(); table != nil {
			g.front.ages.keep(table.HasRoute)
		}
		g.front.callers.sweep(g.restTime())
		g.front.pool.Sweep(func(address string) bool { return wanted[address] })
	}
	return nil
}

// restTime is how long a caller's connection may be at rest: somewhat longer
// than callers are told, since they may resume one until then.
func (g *Gateway) restTime() time.Duration {
	t := g.feeds.Config.Table()
	if t == nil {
		return idleWait
	}
	return t.Config.Limits.IdleTimeout * 5 / 4
}

// vitals logs how the process itself does, every few seconds.
func (g *Gateway) vitals(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, vitalsEvery)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		g.log.Event("vitals").Int64("active", g.front.active.Load()).Int64("held_bytes", g.front.queues.Held()).
			Int64("answers_waiting", g.front.queues.Waiting()).Int64("answers_dropped", g.front.queues.Dropped()).
			Dur("lag", g.core.pressure.Lag()).Float64("shed", g.core.pressure.ShedFraction()).
			Bool("yields", g.core.pressure.Yields()).Int("goroutines", runtime.NumGoroutine()).
			Uint64("heap_bytes", m.HeapInuse).Uint64("stack_bytes", m.StackInuse).Uint32("collections", m.NumGC).
			Int("connections", len(g.front.callers.places)).
			Int64("connections_unserved", g.front.callers.unserved.Load()).Uint64("lines_dropped", g.log.Dropped()).Msg("")
		g.stats.ConfigAge.RecordDuration(g.feeds.Config.Age())
		g.log.Shares(g.core.shares(teamsLogged))
		g.front.accounts.log(g.log)
		g.log.Event("traffic").Any("bytes", g.traffic.Sums()).Any("source_calls", g.stats.SourceCalls()).Msg("")
	}
	return nil
}
