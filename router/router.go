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
	// eventRoom is how many events may wait for the core.
	eventRoom = 4096
	// headerTimeout is how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection is kept.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds a caller's headers, in bytes.
	maxHeader = 32 << 10
	// agentIdle is how long idle connections to agents are kept, which is less
	// than agents keep them.
	agentIdle    = 90 * time.Second
	agentConns   = 256
	dialTimeout  = 2 * time.Second
	leaveMessage = "leaving: no new work is taken"
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
	watcher  *watcher
}

// Option changes a Router.
type Option func(*Router)

// WithDial sets how the router opens connections to agents and other routers,
// for instance to put the delay between two halls on them in a lab.
func WithDial(d link.DialFunc) Option {
	return func(r *Router) { r.dial = d }
}

// New returns a router that has opened no address yet. It fails where the TLS
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
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	events := make(chan event, eventRoom)
	meter := &link.Meter{}
	incarnation := fleet.Incarnation(began.UnixNano())
	r.admin = admin.New(admin.Source{Ready: r.ready, State: r.dump})
	r.handler = &handler{
		incarnation: incarnation,
		log:         logger,
		now:         now,
		events:      events,
		meter:       meter,
		stats:       newStats(r.admin.Scope()),
		transport:   r.transport(),
		secure:      r.secure != nil,
	}
	keeper := adopt.NewKeeper(s.Verifier(), r.adopted, r.refused)
	r.watcher = &watcher{
		settings: s.Platform,
		log:      logger,
		client:   objectapi.NewClient(s.Platform.Address.String()),
		keeper:   keeper,
		verifier: s.Verifier(),
		events:   events,
	}
	r.core = &core{
		settings:    s,
		log:         logger,
		now:         now,
		incarnation: incarnation,
		admit:       r.handler.table.Store,
		events:      events,
		links:       make(chan link.Event, eventRoom),
		meter:       meter,
		keeper:      keeper,
		platform:    r.watcher,
		queue:       queue.New(queue.Config{}),
		hub:         ledger.NewHub(s.Name, s.Hall),
		keys:        once.NewCoordinator(),
		policy:      bundle.Policy{}.WithDefaults(),
		servers:     map[fleet.Name]bundle.Server{},
		peers:       map[fleet.Name]*peer{},
		open:        map[queue.RequestID]*openRequest{},
	}
	return r, nil
}

// adopted prepares a bundle for the core, in the keeper's goroutine. Requests
// are admitted under it once the core knows of it.
func (r *Router) adopted(f bundle.Active) {
	r.core.events <- bundleEvent{prepare(f, r.settings.Process)}
}

func (r *Router) refused(err error) {
	r.log.Warn().Err(err).Msg("bundle refused")
}

// ErrNotReady means that the router should get no requests yet, or no more.
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

// gauges returns what the metrics show of the state.
func (r *Router) gauges(ctx context.Context) ([]process.Reading, error) {
	dump, err := r.dump(ctx)
	if err != nil {
		return nil, err
	}
	s := dump.(State)
	readings := []process.Reading{
		{Name: "generation", Value: float64(s.Generation)},
		{Name: "waiting", Value: float64(s.Waiting)},
		{Name: "open", Value: float64(s.Open)},
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

// Run serves until ctx ends, then takes no new requests, waits for those that
// are there and returns. What is left when the drain time is over is cut.
func (r *Router) Run(ctx context.Context) error {
	callers, err := process.Listen("listen", r.settings.Listen.String())
	if err != nil {
		return err
	}
	links, err := process.Listen("links", r.settings.Links.String())
	if err != nil {
		return err
	}
	adm, err := process.Listen("admin", r.settings.Admin.String())
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	opts := link.Options{
		Hello: r.core.hello, Events: r.core.links, Meter: r.core.meter, Dial: r.dial,
		Secure: r.secure, Accept: wire.RoleRouter, Refused: process.LinkEnded(r.log),
	}
	r.core.dialer = &dialer{ctx: life, opts: opts, log: r.log, kept: map[string]context.CancelFunc{}}
	hs := &http.Server{
		Handler:           r.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	wg.Go(func() { r.core.run(life) })
	wg.Go(func() { r.watcher.keeper.Run(life) })
	wg.Go(func() { r.watcher.hosts(life) })
	wg.Go(func() { process.Gauge(life, r.admin.Scope(), r.gauges) })
	wg.Go(func() { r.watcher.bundles(life, func() bool { return r.handler.table.Load() != nil }) })
	wg.Go(func() { process.Report(r.log, "links", link.Listen(life, links, opts)) })
	wg.Go(func() { process.Report(r.log, "admin", r.admin.Serve(life, adm)) })
	wg.Go(func() { process.Report(r.log, "listen", hs.Serve(callers)) })
	r.log.Info().Str("listen", callers.Addr().String()).Str("links", links.Addr().String()).Msg("router started")
	<-ctx.Done()
	return r.drain(hs)
}

// cutTimeout bounds how long LogCut waits for the state.
const cutTimeout = time.Second

// LogCut logs the requests that an end at this moment cuts. Call it before the
// process is ended out of order.
func (r *Router) LogCut() {
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	s, err := r.dump(ctx)
	if err != nil {
		r.log.Error().Err(err).Msg("requests are cut; how many is not known")
		return
	}
	state := s.(State)
	r.log.Error().Int("running", state.Open-state.Waiting).Int("waiting", state.Waiting).Msg("requests are cut")
}

// drain ends the process in order.
func (r *Router) drain(hs *http.Server) error {
	limit := r.settings.Drain.Or(settings.DefaultDrain)
	r.log.Info().Dur("limit", limit).Msg(leaveMessage)
	r.handler.leaving.Store(true)
	r.core.events <- leaveEvent{}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := hs.Shutdown(ctx); err != nil {
		r.LogCut()
		return hs.Close()
	}
	r.log.Info().Msg("left: nothing was cut")
	return nil
}
