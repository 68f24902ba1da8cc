package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/croftvale/croftvale/admin"
	"github.com/croftvale/croftvale/adopt"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/process"
	"github.com/croftvale/croftvale/sched"
	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/wire"
	"github.com/phuslu/log"
)

const (
	// eventRoom is how many events may wait for the core.
	eventRoom = 1024
	// keepIdle is longer than routers keep idle connections, so that it is
	// always the caller who closes one.
	keepIdle = 10 * time.Minute
)

// Agent is the daemon beside one backend server.
type Agent struct {
	settings settings.Agent
	log      *log.Logger
	secure   *secure.Store // nil for plain connections
	core     *core
	admin    *admin.Server
	server   *server
}

// New returns an agent that has opened no address yet. It fails where the TLS
// files of the settings can't be used.
func New(s settings.Agent, logger *log.Logger) (*Agent, error) {
	began := time.Now()
	a := &Agent{settings: s, log: logger}
	store, err := process.Keys(s.TLS)
	if err != nil {
		return nil, err
	}
	a.secure = store
	a.core = &core{
		settings:    s,
		log:         logger,
		now:         func() time.Duration { return time.Since(began) },
		incarnation: fleet.Incarnation(began.UnixNano()),
		events:      make(chan event, eventRoom),
		links:       make(chan link.Event, eventRoom),
		meter:       &link.Meter{},
		machine:     sched.New(sched.Config{}),
		keys:        once.NewKeyTable(once.KeyTableConfig{Self: s.Name, StartedAt: began}),
		routers:     map[fleet.Name]*routerLink{},
		waiting:     map[uint64]chan<- verdict{},
		left:        make(chan struct{}),
	}
	a.server = newServer(a.core, logger)
	a.core.bundles = func(f bundle.Active) { a.server.configure(f) }
	a.core.keeper = adopt.NewKeeper(s.Verifier(), a.adopted, a.refused)
	a.admin = admin.New(admin.Source{Ready: a.server.ready, State: a.dump})
	return a, nil
}

func (a *Agent) adopted(f bundle.Active) { a.core.events <- bundleEvent{f} }

func (a *Agent) refused(err error) {
	a.log.Warn().Err(err).Msg("bundle refused")
}

func (a *Agent) dump(ctx context.Context) (any, error) {
	s, err := process.Dump(ctx, a.core.events, func(reply chan<- State) event { return stateEvent{reply} })
	s.Server = a.server.health.lastLoad()
	return s, err
}

// gauges returns what the metrics show of the state.
func (a *Agent) gauges(ctx context.Context) ([]process.Reading, error) {
	dump, err := a.dump(ctx)
	if err != nil {
		return nil, err
	}
	s := dump.(State)
	readings := []process.Reading{
		{Name: "generation", Value: float64(s.Generation)},
		{Name: "slots", Value: float64(s.Slots)},
		{Name: "running", Value: float64(s.Running)},
		{Name: "held", Value: float64(s.Held)},
		{Name: "keys", Value: float64(s.Keys)},
		{Name: "server_running", Value: float64(s.Server.Running)},
	}
	return append(readings, process.TrafficReadings(s.Traffic)...), nil
}

// Run serves until ctx ends, then takes no new work, waits for what runs and
// returns. What still runs when the drain time is over is cut and logged.
func (a *Agent) Run(ctx context.Context) error {
	links, err := process.Listen("links", a.settings.Links.String())
	if err != nil {
		return err
	}
	serve, err := process.Listen("serve", a.settings.Serve.String())
	if err != nil {
		return err
	}
	adm, err := process.Listen("admin", a.settings.Admin.String())
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	hs := &http.Server{Handler: a.server, ReadHeaderTimeout: keepIdle, IdleTimeout: keepIdle}
	wg.Go(func() { a.core.run(life) })
	wg.Go(func() { a.core.keeper.Run(life) })
	wg.Go(func() { a.server.probe(life) })
	wg.Go(func() { process.Gauge(life, a.admin.Scope(), a.gauges) })
	wg.Go(func() { process.Report(a.log, "links", link.Listen(life, links, a.linkOptions())) })
	wg.Go(func() { process.Report(a.log, "admin", a.admin.Serve(life, adm)) })
	wg.Go(func() { process.Report(a.log, "serve", hs.Serve(a.secured(serve))) })
	a.log.Info().Str("links", links.Addr().String()).Str("serve", serve.Addr().String()).Msg("agent started")
	<-ctx.Done()
	return a.drain(hs)
}

// cutTimeout bounds how long LogCut waits for the state.
const cutTimeout = time.Second

// LogCut logs the requests that an end at this moment cuts. Call it before the
// process is ended out of order.
func (a *Agent) LogCut() {
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	s, err := a.dump(ctx)
	if err != nil {
		a.log.Error().Err(err).Msg("requests are cut; how many is not known")
		return
	}
	state := s.(State)
	a.log.Error().Int("running", state.Running).Int("held", state.Held).Msg("requests are cut")
}

// drain ends the process in order.
func (a *Agent) drain(hs *http.Server) error {
	limit := a.settings.Drain.Or(settings.DefaultDrain)
	a.log.Info().Dur("limit", limit).Msg("leaving: no new work is taken")
	a.core.events <- leaveEvent{}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-a.core.left:
	case <-ctx.Done():
		a.LogCut()
		return hs.Close()
	}
	a.log.Info().Msg("left: nothing was cut")
	return hs.Shutdown(ctx)
}

func (a *Agent) linkOptions() link.Options {
	return link.Options{
		Hello: a.core.hello, Events: a.core.links, Meter: a.core.meter,
		Secure: a.secure, Accept: wire.RoleRouter, Refused: process.LinkEnded(a.log),
	}
}

// secured wraps a listener for granted requests: only routers of the fleet may
// connect. Keys are read anew for each connection.
func (a *Agent) secured(ln net.Listener) net.Listener {
	if a.secure == nil {
		return ln
	}
	return tls.NewListener(ln, &tls.Config{
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return a.secure.Server(secure.Identity{Role: string(wire.RoleRouter)}), nil
		},
	})
}
