package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/admin"
	"github.com/croftvale/croftvale/adopt"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/process"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/wire"
	"github.com/phuslu/log"
)

const (
	// eventBuffer is the capacity of the core's event channels.
	eventBuffer = 4096
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a caller's idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a caller's headers.
	maxHeaderBytes = 32 << 10
	// agentIdleTimeout is the time after which idle connections to agents are
	// closed. It is shorter than the agents' own timeout, so that the router always
	// closes first.
	agentIdleTimeout     = 90 * time.Second
	maxIdleConnsPerAgent = 256
	dialTimeout          = 2 * time.Second
	drainMessage         = "draining: no new requests are accepted"
)

// Router is the daemon on an entry host.
type Router struct {
	settings settings.Router
	log      *log.Logger
	dial     link.DialFunc
	secure   *secure.Store // nil for plain connections
	core     *core
	handler  *handler
	admin    *admin.Server
	watcher  *platformWatcher
}

// Option configures a Router.
type Option func(*Router)

// WithDial sets the function that opens connections to agents and other routers,
// for example to simulate the delay between two halls.
func WithDial(d link.DialFunc) Option {
	return func(r *Router) { r.dial = d }
}

// New returns a router that is not listening yet. It returns an error if the TLS
// files of the settings can't be used.
func New(s settings.Router, logger *log.Logger, opts ...Option) (*Router, error) {
	r := &Router{settings: s, log: logger, dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, o := range opts {
		o(r)
	}
	store, err := process.Keys(s.TLS)
	if err != nil {
		return nil, err
	}
	r.secure = store
	startedAt := time.Now()
	now := func() time.Duration { return time.Since(startedAt) }
	events := make(chan event, eventBuffer)
	meter := &link.Meter{}
	incarnation := fleet.Incarnation(startedAt.UnixNano())
	r.admin = admin.New(admin.Source{Ready: r.ready, State: r.dump})
	r.handler = &handler{
		incarnation: incarnation,
		log:         logger,
		now:         now,
		events:      events,
		meter:       meter,
		stats:       newStats(r.admin.Scope()),
		transport:   r.newTransport(),
		useTLS:      r.secure != nil,
	}
	adopter := adopt.NewRunner(s.Verifier(), r.onBundleAdopted, r.onBundleRejected)
	r.watcher = &platformWatcher{
		settings: s.Platform,
		log:      logger,
		client:   objectapi.NewClient(s.Platform.Address.String()),
		adopter:  adopter,
		verifier: s.Verifier(),
		events:   events,
	}
	r.core = &core{
		settings:     s,
		log:          logger,
		now:          now,
		incarnation:  incarnation,
		publishTable: r.handler.table.Store,
		events:       events,
		links:        make(chan link.Event, eventBuffer),
		meter:        meter,
		adopter:      adopter,
		platform:     r.watcher,
		queue:        queue.New(queue.Config{}),
		hub:          ledger.NewHub(s.Name, s.Hall),
		keys:         once.NewCoordinator(),
		policy:       bundle.Policy{}.WithDefaults(),
		servers:      map[fleet.Name]bundle.Server{},
		peers:        map[fleet.Name]*peer{},
		requests:     map[queue.RequestID]*openRequest{},
	}
	return r, nil
}

// onBundleAdopted prepares a bundle in the adopter's goroutine and sends it to the
// core. New requests use it once the core has applied it.
func (r *Router) onBundleAdopted(active bundle.Active) {
	r.core.events <- bundleEvent{prepareBundle(active, r.settings.Process)}
}

func (r *Router) onBundleRejected(err error) {
	r.log.Warn().Err(err).Msg("bundle rejected")
}

// ErrNotReady means that the router has no bundle yet or is draining, and should
// get no requests.
var ErrNotReady = errors.New("no bundle in force, or leaving; requests go to other routers")

func (r *Router) ready() error {
	if r.handler.table.Load() == nil || r.handler.leaving.Load() {
		return ErrNotReady
	}
	return nil
}

func (r *Router) dump(ctx context.Context) (any, error) {
	return process.Dump(ctx, r.core.events, func(reply chan<- State) event { return stateEvent{reply} })
}

// gauges returns the values of the state that are exported as metrics.
func (r *Router) gauges(ctx context.Context) ([]process.Reading, error) {
	dump, err := r.dump(ctx)
	if err != nil {
		return nil, err
	}
	s := dump.(State)
	readings := []process.Reading{
		{Name: "generation", Value: float64(s.Generation)},
		{Name: "waiting", Value: float64(s.Waiting)},
		{Name: "open", Value: float64(s.Unfinished)},
		{Name: "platform_calls", Value: float64(s.PlatformCalls)},
		{Name: "platform_ok", Value: boolValue(s.PlatformOK)},
	}
	return append(readings, process.TrafficReadings(s.Traffic)...), nil
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Run serves until ctx ends. It then refuses new requests, waits for the others
// to finish and returns. Requests that are unfinished at the end of the drain
// time are aborted.
func (r *Router) Run(ctx context.Context) error {
	callerListener, err := process.Listen("listen", r.settings.Listen.String())
	if err != nil {
		return err
	}
	linkListener, err := process.Listen("links", r.settings.Links.String())
	if err != nil {
		return err
	}
	adminListener, err := process.Listen("admin", r.settings.Admin.String())
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	opts := link.Options{
		Hello: r.core.hello, Events: r.core.links, Meter: r.core.meter, Dial: r.dial,
		Secure: r.secure, AcceptRole: wire.RoleRouter, OnEnd: process.LinkEnded(r.log),
	}
	r.core.dialer = &dialer{ctx: runCtx, opts: opts, log: r.log, cancels: map[string]context.CancelFunc{}}
	httpServer := &http.Server{
		Handler:           r.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	wg.Go(func() { r.core.run(runCtx) })
	wg.Go(func() { r.watcher.adopter.Run(runCtx) })
	wg.Go(func() { r.watcher.pollHosts(runCtx) })
	wg.Go(func() { process.Gauge(runCtx, r.admin.Scope(), r.gauges) })
	wg.Go(func() { r.watcher.watchBundles(runCtx, func() bool { return r.handler.table.Load() != nil }) })
	wg.Go(func() { process.Report(r.log, "links", link.Listen(runCtx, linkListener, opts)) })
	wg.Go(func() { process.Report(r.log, "admin", r.admin.Serve(runCtx, adminListener)) })
	wg.Go(func() { process.Report(r.log, "listen", httpServer.Serve(callerListener)) })
	r.log.Info().Str("listen", callerListener.Addr().String()).Str("links", linkListener.Addr().String()).Msg("router started")
	<-ctx.Done()
	return r.drain(httpServer)
}

// stateTimeout bounds how long LogAbortedRequests waits for the core's state.
const stateTimeout = time.Second

// LogAbortedRequests logs how many requests are aborted if the process ends now.
// Call it before ending the process without a drain.
func (r *Router) LogAbortedRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	s, err := r.dump(ctx)
	if err != nil {
		r.log.Error().Err(err).Msg("requests are cut; their number is unknown")
		return
	}
	state := s.(State)
	r.log.Error().Int("running", state.Unfinished-state.Waiting).Int("waiting", state.Waiting).Msg("requests are cut")
}

// drain stops accepting requests and waits for the unfinished ones, up to the
// drain time of the settings.
func (r *Router) drain(httpServer *http.Server) error {
	limit := r.settings.Drain.Or(settings.DefaultDrain)
	r.log.Info().Dur("limit", limit).Msg(drainMessage)
	r.handler.leaving.Store(true)
	r.core.events <- shutdownEvent{}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := httpServer.Shutdown(ctx); err != nil {
		r.LogAbortedRequests()
		return httpServer.Close()
	}
	r.log.Info().Msg("drained: no request was aborted")
	return nil
}
