package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	reportEvery   = time.Second
	headerTimeout = 5 * time.Second
)

// Source is what an admin server shows.
type Source struct {
	Ready func() error // nil when the process takes work, else why not
	State func(context.Context) (any, error)
	// MetricFailed is called for a metric that is not registered, as another one of its name has other
	// labels. It may be nil.
	MetricFailed func(error)
}

// Server is the admin server of one process.
type Server struct {
	source Source
	scope  tally.Scope
	closer io.Closer
	mux    *http.ServeMux
}

// New returns a server and the root of the process's metrics.
func New(src Source) *Server {
	reporter := promreporter.NewReporter(promreporter.Options{OnRegisterError: src.metricFailed})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "croftvale",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	s := &Server{source: src, scope: scope, closer: closer, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", reporter.HTTPHandler())
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /state", s.state)
	s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return s
}

// metricFailed reports a metric that is not registered. Without it, the reporter would panic in whatever
// request counts first.
func (s Source) metricFailed(err error) {
	if s.MetricFailed != nil {
		s.MetricFailed(err)
	}
}

// Scope returns the root of the process's metrics.
func (s *Server) Scope() tally.Scope { return s.scope }

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	hs := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
	defer stop()
	defer func() { _ = s.closer.Close() }()
	err := hs.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.source.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	v, err := s.source.State(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // the reader has gone; there is nobody to tell
}
