package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// pullPatience is how long the source may bring a change by itself before
	// it is pulled from a peer.
	pullPatience = 100 * time.Millisecond
	pullTimeout  = 500 * time.Millisecond
	pullMost     = 32 << 20
	pathConfig   = "/v1/config"
	pathServers  = "/v1/servers"
)

// serveState answers the pulls of other routers.
func serveState(s *state) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		if t := s.table.Load(); t != nil {
			writeState(w, t.Config)
			return
		}
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, _ *http.Request) {
		if d := s.directory.Load(); d != nil {
			writeState(w, d)
			return
		}
		http.Error(w, "no servers yet", http.StatusServiceUnavailable)
	})
	return mux
}

func writeState(w http.ResponseWriter, v any) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// puller brings newer configuration and servers from other routers.
type puller struct {
	client *http.Client
	port   string // control port, the same on all hosts
	state  *state
	peers  *peers
	seeds  []string
}

func newPuller(s Settings, st *state, p *peers) (*puller, error) {
	_, port, err := net.SplitHostPort(s.Control)
	if err != nil {
		return nil, errors.Wrapf(err, "settings: the control address %q: give host:port", s.Control)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: pullTimeout / 2}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     5 * time.Second,
	}
	return &puller{client: &http.Client{Transport: transport}, port: port, state: st, peers: p, seeds: s.Seeds}, nil
}

// run pulls whenever a peer is ahead, until ctx ends. Until the first
// configuration has come, it asks the seeds.
func (p *puller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !p.state.complete() {
			p.fromSeeds(ctx)
			sleep(ctx, 2*pullPatience)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.peers.behind:
		}
		sleep(ctx, pullPatience)
		config, servers := p.peers.ahead()
		for _, address := range config {
			if p.config(ctx, net.JoinHostPort(address, p.port)) == nil {
				break
			}
		}
		for _, address := range servers {
			if p.servers(ctx, net.JoinHostPort(address, p.port)) == nil {
				break
			}
		}
	}
	return nil
}

func (p *puller) fromSeeds(ctx context.Context) {
	for _, seed := range p.seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil || host == p.peers.self || p.state.complete() {
			continue
		}
		p.peers.add(host)
		if p.config(ctx, seed) == nil {
			_ = p.servers(ctx, seed)
		}
	}
}

func (p *puller) config(ctx context.Context, address string) error {
	var c direct.Config
	if err := p.get(ctx, address, pathConfig, &c); err != nil {
		return err
	}
	p.state.offerConfig(&c, address)
	return nil
}

func (p *puller) servers(ctx context.Context, address string) error {
	var d direct.Directory
	if err := p.get(ctx, address, pathServers, &d); err != nil {
		return err
	}
	p.state.offerServers(&d, address)
	return nil
}

func (p *puller) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	answer, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("%s%s: %s", address, path, answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, pullMost))
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(body, into)
}
