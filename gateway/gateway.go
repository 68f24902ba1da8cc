package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
	acceptFor   = 2500 * time.Millisecond
	lastMoment  = 300 * time.Millisecond // before the end of the grace
	drainPoll   = 50 * time.Millisecond
	drainQuiet  = 8 // polls without a request, before the end
	// drainRest is how long a connection must have been at rest to be closed
	// once the balancer sends no more: its caller then asks another router.
	drainRest    = 200 * time.Millisecond
	defaultGrace = 8 * time.Second
	// spareDescriptors are left for files, peers and the source.
	spareDescriptors = 400
	defaultCallers   = 1000
)

// Gateway is one router.
type Gateway struct {
	settings Settings
	source   Source
	dialect  Dialect
	journal  *journal
	core     *core
	state    *state
	front    *front
	peers    *peers
	puller   *puller
	admin    *admin.Server
	server   *http.Server
	grace    atomic.Int64 // nanoseconds; changes with the settings
}

// New returns a gateway that logs to out.
func New(s Settings, source Source, dialect Dialect, out io.Writer) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g := &Gateway{settings: s, source: source, dialect: dialect, journal: newJournal(out, s.Name)}
	g.grace.Store(int64(s.Grace))
	g.core = newCore(direct.Options{Zone: s.Zone, Budget: s.Budget}, g.journal.belief)
	g.state = &state{core: g.core, journal: g.journal}
	conn, port, err := listenPeers(s)
	if err != nil {
		return nil, err
	}
	g.peers = newPeers(s, port, conn, g.core, g.state, g.journal)
	g.state.changed = g.peers.changed
	if g.puller, err = newPuller(s, g.state, g.peers); err != nil {
		return nil, err
	}
	g.admin = admin.New(admin.Source{Ready: g.ready, State: g.dump})
	g.front = &front{
		core: g.core, state: g.state, dialect: dialect, journal: g.journal, stats: newStats(g.admin.Scope()),
		pool: backend.NewPool(backend.Options{DialTimeout: dialTimeout, SilentPeer: silentPeer, MaxIdle: maxIdle}),
		most: s.MemoryBytes / bodiesShare, callers: newCallers(callersMost(s.Descriptors)),
	}
	g.server = &http.Server{
		Handler: g.front, MaxHeaderBytes: headerLimit, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		ConnState: g.front.callers.state, ConnContext: g.front.callers.context,
	}
	return g, nil
}

func listenPeers(s Settings) (net.PacketConn, int, error) {
	conn, err := net.ListenPacket("udp4", s.Peers)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "settings: the address of peers %q: choose one of this host that is not in use", s.Peers)
	}
	_, text, err := net.SplitHostPort(s.Peers)
	if err != nil {
		return nil, 0, err
	}
	port, err := strconv.Atoi(text)
	return conn, port, err
}

// Run serves until ctx ends, and then for the grace that callers are given.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.journal.close()
	g.journal.event("start").Str("zone", g.settings.Zone).Str("address", g.settings.Address).Msg("")
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
	g.journal.event("stop").Int64("cut", g.front.active.Load()).Msg("")
	return nil
}

// listen opens the addresses that others call.
func (g *Gateway) listen(life context.Context, failed chan<- error) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.ReadyPath(), g.answerReady)
	servers := []struct {
		key, address string
		server       *http.Server
	}{
		{"ready", g.settings.Ready, &http.Server{Handler: mux, ReadHeaderTimeout: headerWait}},
		{"control", g.settings.Control, &http.Server{Handler: serveState(g.state), ReadHeaderTimeout: headerWait}},
		{"front", g.settings.Front, g.server},
	}
	for _, s := range servers {
		ln, err := net.Listen("tcp", s.address)
		if err == nil && s.server == g.server {
			ln = listener{ln, g.front.callers, &g.core.pressure}
		}
		if err != nil {
			return errors.Wrapf(err, "settings: the %s address %q: choose one of this host that is not in use", s.key, s.address)
		}
		go func() {
			if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	if g.settings.Metrics == "" {
		return nil
	}
	ln, err := net.Listen("tcp", g.settings.Metrics)
	if err != nil {
		return errors.Wrapf(err, "settings: the metrics address %q: choose one of this host that is not in use", g.settings.Metrics)
	}
	go func() { _ = g.admin.Serve(life, ln) }()
	return nil
}

// callersMost is how many connections of callers are held at once: two thirds
// of the descriptors, since those that wait for a server need one more.
func callersMost(descriptors int) int {
	if descriptors <= 0 {
		return defaultCallers
	}
	return max((descriptors-spareDescriptors)*2/3, 1)
}

// duties starts what goes on beside the requests.
func (g *Gateway) duties(life context.Context) {
	self := Member{Name: g.settings.Name, Address: g.settings.Address}
	for _, duty := range []func(context.Context) error{
		g.core.tick,
		followConfig(g.source, g.state, g.peers.watches).run,
		followServers(g.source, g.state, g.peers.watches).run,
		func(ctx context.Context) error {
			return followMembers(ctx, g.source, self, func(m Member) { g.peers.add(m.Address) })
		},
		g.peers.send,
		g.peers.receive,
		g.puller.run,
		g.sweep,
		g.vitals,
	} {
		go func() { _ = duty(life) }()
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
		g.journal.event("vitals").Int64("active", g.front.active.Load()).Int64("body_bytes", g.front.bodies.Load()).
			Dur("lag", time.Duration(g.core.pressure.lag.Load())).Int("goroutines", runtime.NumGoroutine()).
			Uint64("heap_bytes", m.HeapInuse).Uint64("stack_bytes", m.StackInuse).Uint32("collections", m.NumGC).
			Uint64("lines_dropped", g.journal.dropped.Load()).Msg("")
		g.journal.shares(g.core.shares(teamsLogged))
	}
	return nil
}

// ready tells why the router takes no callers, or nil.
func (g *Gateway) ready() error {
	switch {
	case g.front.draining.Load():
		return errors.New("the router is ending")
	case g.core.pressure.overloaded.Load():
		return errors.New("the router has no processor time for more callers")
	case !g.state.complete():
		return errors.New("no configuration or no list of servers has come yet")
	}
	return nil
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// drain ends the router so that callers lose nothing: not ready at once, new
// connections served until the balancer has stopped sending them, requests
// under way to their end within the grace.
func (g *Gateway) drain() {
	began := time.Now()
	g.front.draining.Store(true)
	g.journal.event("drain").Int64("active", g.front.active.Load()).Msg("")
	grace := time.Duration(g.grace.Load())
	if grace <= 0 {
		grace = defaultGrace
	}
	time.Sleep(min(acceptFor, grace/3))
	g.front.refusing.Store(true)
	// Requests may still lie unread where the router is late: it ends only
	// after nothing has come for a while.
	for quiet := 0; quiet < drainQuiet && time.Since(began) < grace-lastMoment; {
		time.Sleep(drainPoll)
		g.front.callers.sweep(drainRest)
		quiet++
		if g.front.active.Load() > 0 || g.front.callers.unread() {
			quiet = 0
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastMoment/3)
	defer cancel()
	_ = g.server.Shutdown(ctx)
}

// Unreadable logs an object of the source that cannot be read; what was known
// before stays in force.
func (g *Gateway) Unreadable(kind, name string, revision uint64, err error) {
	g.journal.event("object_unreadable").Str("kind", kind).Str("name", name).Uint64("revision", revision).Err(err).Msg("")
}

// Reload puts changed settings in force. What a process has opened stays open
// until its end; a changed address of its own is logged.
func (g *Gateway) Reload(s Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g.grace.Store(int64(s.Grace))
	g.core.update(direct.BudgetMsg{Budget: s.Budget})
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			g.peers.add(host)
		}
	}
	moved := s.Front != g.settings.Front || s.Ready != g.settings.Ready || s.Control != g.settings.Control
	g.journal.event("reload").Bool("restart_needed", moved).Msg("")
}

// ReloadFailed logs settings that cannot be read; the last good ones stay in
// force.
func (g *Gateway) ReloadFailed(err error) {
	g.journal.event("reload_failed").Err(err).Msg("")
}
