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
	bodiesShare = 8   // a part of the memory, for callers' bodies
	memoryShare = 0.6 // of the memory, from which the collector works harder
)

// Gateway is one router.
type Gateway struct {
	settings Settings
	source   Source
	dialect  Dialect
	log      *eventLog
	core     *core
	state    *state
	front    *front
	stats    *stats
	traffic  traffic
	peers    *peers
	loads    *loadExchange
	puller   *puller
	admin    *admin.Server
	server   *http.Server
	grace    atomic.Int64 // nanoseconds; changes with the settings
}

// New returns a gateway that logs to out.
func New(s Settings, source Source, dialect Dialect, out io.Writer) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g := &Gateway{settings: s, source: source, dialect: dialect, log: newEventLog(out, s.Name)}
	g.grace.Store(int64(s.Grace))
	g.core = newCore(direct.Options{
		Zone: s.Zone, Region: s.Region, HallRegions: s.HallRegions, Budget: s.Budget, Without: s.Without,
	}, g.log)
	g.admin = admin.New(admin.Source{Ready: g.ready, State: g.dump})
	g.stats = newStats(g.admin.Scope())
	g.state = &state{core: g.core, log: g.log, listed: make(chan struct{}), hallsListed: make(chan struct{}), followsHalls: s.Evacuate > 0}
	conn, port, err := listenDatagrams(s.Peers)
	if err != nil {
		return nil, err
	}
	g.traffic.meter(g.admin.Scope())
	g.peers = newPeers(s, port, conn, g.core, g.state, g.log, g.stats, &g.traffic)
	if conn, port, err = listenDatagrams(s.Loads); err != nil {
		return nil, err
	}
	g.loads = newLoadExchange(s, port, conn, g.core, g.stats, &g.traffic)
	g.peers.heard = g.loads.routers
	g.state.changed = g.peers.changed
	if g.puller, err = newPuller(s, g.state, g.peers, &g.traffic); err != nil {
		return nil, err
	}
	g.front = &front{
		core: g.core, state: g.state, dialect: dialect, log: g.log, stats: g.stats,
		pool: backend.NewPool(backend.Options{DialTimeout: dialTimeout, SilentPeer: silentPeer, MaxIdle: maxIdle}),
		most: s.MemoryBytes / bodiesShare, callers: newCallers(callersMost(s.Descriptors), s.Power), eventDelay: s.EventDelay,
		hall: s.Zone, traffic: &g.traffic,
	}
	g.core.probe = (&prober{core: g.core, pool: g.front.pool}).probe
	g.server = &http.Server{
		Handler: g.front, MaxHeaderBytes: headerLimit, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		ConnState: g.front.callers.state, ConnContext: g.front.callers.context,
	}
	return g, nil
}

// Run serves until ctx ends, and then for the grace that callers are given.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.log.close()
	g.log.event("start").Str("zone", g.settings.Zone).Str("address", g.settings.Address).Msg("")
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
	g.log.event("stop").Int64("cut", g.front.active.Load()).Msg("")
	return nil
}

// duties starts what goes on beside the requests.
func (g *Gateway) duties(life context.Context) {
	self := Member{Name: g.settings.Name, Address: g.settings.Address}
	duties := []func(context.Context) error{
		g.core.tick,
		followConfig(g.source, g.state, role{g.peers, &g.peers.configFails}, g.stats).run,
		followServers(g.source, g.state, role{g.peers, &g.peers.serversFail}, g.stats).run,
		members{
			source: g.source, self: self, found: func(m Member) { g.peers.add(m.Address) },
			heard: g.peers.heardAny, firstStart: g.settings.FirstStart,
		}.follow,
		g.peers.send,
		g.peers.receive,
		g.loads.send,
		g.loads.receive,
		g.puller.run,
		g.sweep,
		g.vitals,
	}
	if g.settings.Evacuate > 0 {
		follower := followEvacuations(g.source, g.state, role{g.peers, &g.peers.evacuationsFail}, g.stats, g.settings.Evacuate)
		duties = append(duties, follower.run)
	}
	for _, duty := range duties {
		go func() {
			if err := duty(life); err != nil {
				g.log.event("duty_ended").Err(err).Msg("")
			}
		}()
	}
}

// sweep closes connections that are of no more use.
func (g *Gateway) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, sweepEvery)
		wanted := make(map[string]bool)
		if d := g.state.directory.Load(); d != nil {
			for _, s := range d.Servers {
				wanted[s.Address] = true
			}
		}
		if table := g.state.table.Load(); table != nil {
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
	t := g.state.table.Load()
	if t == nil {
		return idleWait
	}
	return t.Config.Limits.IdleTimeout * 5 / 4
}

// vitals logs how the process itself does, every few seconds.
func (g *Gateway) vitals(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, vitalsEvery)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		g.log.event("vitals").Int64("active", g.front.active.Load()).Int64("body_bytes", g.front.bodies.Load()).
			Dur("lag", time.Duration(g.core.pressure.lag.Load())).Float64("shed", g.core.pressure.shedPart()).
			Bool("yields", g.core.pressure.yields.Load()).Int("goroutines", runtime.NumGoroutine()).
			Uint64("heap_bytes", m.HeapInuse).Uint64("stack_bytes", m.StackInuse).Uint32("collections", m.NumGC).
			Int("connections", len(g.front.callers.places)).
			Int64("connections_unserved", g.front.callers.unserved.Load()).Uint64("lines_dropped", g.log.dropped.Load()).Msg("")
		g.stats.age.RecordDuration(g.state.configAge())
		g.log.shares(g.core.shares(teamsLogged))
		g.log.accounts(g.front.accounts.take())
		g.log.traffic(g.traffic.sums())
	}
	return nil
}
