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
	// eventBuffer is the capacity of the core's event channels.
	eventBuffer = 1024
	// routerIdleTimeout is longer than the routers' timeout for idle connections,
	// so that the router always closes a connection first.
	routerIdleTimeout = 10 * time.Minute
)

// Agent is the daemon beside one backend server.
type Agent struct {
	settings settings.Agent
	log      *log.Logger
	secure   *secure.Store // nil for plain connections
	core     *core
	admin    *admin.Server
	proxy    *proxy
}

// New returns an agent that is not listening yet. It returns an error if the TLS
// files of the settings can't be used.
func New(s settings.Agent, logger *log.Logger) (*Agent, error) {
	startedAt := time.Now()
	a := &Agent{settings: s, log: logger}
	store, err := process.Keys(s.TLS)
	if err != nil {
		return nil, err
	}
	a.secure = store
	a.core = &core{
		settings:    s,
		log:         logger,
		now:         func() time.Duration { return time.Since(startedAt) },
		incarnation: fleet.Incarnation(startedAt.UnixNano()),
		events:      make(chan event, eventBuffer),
		links:       make(chan link.Event, eventBuffer),
		meter:       &link.Meter{},
		scheduler:   sched.New(sched.Config{}),
		keys:        once.NewKeyTable(once.KeyTableConfig{Self: s.Name, StartedAt: startedAt}),
		routers:     map[fleet.Name]*routerLink{},
		replies:     map[uint64]chan<- decision{},
		drained:     make(chan struct{}),
	}
	a.proxy = newProxy(a.core, logger)
	a.core.onBundle = func(active bundle.Active) { a.proxy.configure(active) }
	a.core.adopter = adopt.NewRunner(s.Verifier(), a.onBundleAdopted, a.onBundleRejected)
	a.admin = admin.New(admin.Source{Ready: a.proxy.ready, State: a.dump})
	return a, nil
}

func (a *Agent) onBundleAdopted(active bundle.Active) { a.core.events <- bundleEvent{active} }

func (a *Agent) onBundleRejected(err error) {
	a.log.Warn().Err(err).Msg("bundle rejected")
}

func (a *Agent) dump(ctx context.Context) (any, error) {
	s, err := process.Dump(ctx, a.core.events, func(reply chan<- State) event { return stateEvent{reply} })
	s.Server = a.proxy.health.lastLoad()
	return s, err
}

// gauges returns the values of the state that are exported as metrics.
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

// Run serves until ctx ends. It then claims no more requests, waits for the
// running ones to finish and returns. Requests that still run at the end of the
// drain time are aborted and logged.
func (a *Agent) Run(ctx context.Context) error {
	linkListener, err := process.Listen("links", a.settings.Links.String())
	if err != nil {
		return err
	}
	serveListener, err := process.Listen("serve", a.settings.Serve.String())
	if err != nil {
		return err
	}
	adminListener, err := process.Listen("admin", a.settings.Admin.String())
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	httpServer := &http.Server{Handler: a.proxy, ReadHeaderTimeout: routerIdleTimeout, IdleTimeout: routerIdleTimeout}
	wg.Go(func() { a.core.run(runCtx) })
	wg.Go(func() { a.core.adopter.Run(runCtx) })
	wg.Go(func() { a.proxy.runProbes(runCtx) })
	wg.Go(func() { process.Gauge(runCtx, a.admin.Scope(), a.gauges) })
	wg.Go(func() { process.Report(a.log, "links", link.Listen(runCtx, linkListener, a.linkOptions())) })
	wg.Go(func() { process.Report(a.log, "admin", a.admin.Serve(runCtx, adminListener)) })
	wg.Go(func() { process.Report(a.log, "serve", httpServer.Serve(a.tlsListener(serveListener))) })
	a.log.Info().Str("links", linkListener.Addr().String()).Str("serve", serveListener.Addr().String()).Msg("agent started")
	<-ctx.Done()
	return a.drain(httpServer)
}

// stateTimeout bounds how long LogAbortedRequests waits for the core's state.
const stateTimeout = time.Second

// LogAbortedRequests logs how many requests are aborted if the process ends now.
// Call it before ending the process without a drain.
func (a *Agent) LogAbortedRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	s, err := a.dump(ctx)
	if err != nil {
		a.log.Error().Err(err).Msg("requests are cut; their number is unknown")
		return
	}
	state := s.(State)
	a.log.Error().Int("running", state.Running).Int("held", state.Held).Msg("requests are cut")
}

// drain stops claiming requests and waits for those that the agent holds, up to
// the drain time of the settings.
func (a *Agent) drain(httpServer *http.Server) error {
	limit := a.settings.Drain.Or(settings.DefaultDrain)
	a.log.Info().Dur("limit", limit).Msg("draining: no new requests are accepted")
	a.core.events <- shutdownEvent{}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-a.core.drained:
	case <-ctx.Done():
		a.LogAbortedRequests()
		return httpServer.Close()
	}
	a.log.Info().Msg("drained: no request was aborted")
	return httpServer.Shutdown(ctx)
}

func (a *Agent) linkOptions() link.Options {
	return link.Options{
		Hello: a.core.hello, Events: a.core.links, Meter: a.core.meter,
		Secure: a.secure, AcceptRole: wire.RoleRouter, OnEnd: process.LinkEnded(a.log),
	}
}

// tlsListener wraps a listener for granted requests in TLS, so that only routers
// of the fleet can connect. It reads the current keys for each connection. Without
// TLS files it returns ln.
func (a *Agent) tlsListener(ln net.Listener) net.Listener {
	if a.secure == nil {
		return ln
	}
	return tls.NewListener(ln, &tls.Config{
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return a.secure.Server(secure.Identity{Role: string(wire.RoleRouter)}), nil
		},
	})
}
