package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/agent"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/router"
)

// ErrNotReady means that a process did not become ready in time.
var ErrNotReady = errors.New("a process of the lab did not become ready; read its log")

// Routers returns the routers, by name.
func (l *Lab) Routers() []*Process { return l.role("router") }

// Agents returns the agents, by name.
func (l *Lab) Agents() []*Process { return l.role("agent") }

func (l *Lab) role(role string) []*Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Process
	for _, p := range l.procs {
		if p.Role == role {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *Process) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// URL returns where a router takes callers' requests.
func (l *Lab) URL(p *Process) string { return "http://" + l.address(p.IP, portListen) }

// Admin returns a process's admin address.
func (l *Lab) Admin(p *Process) string { return l.address(p.IP, portAdmin) }

// WaitReady waits until every running process is ready.
func (l *Lab) WaitReady(ctx context.Context) error {
	for _, p := range append(l.Routers(), l.Agents()...) {
		if !p.Running() {
			continue
		}
		if err := l.waitReady(ctx, p); err != nil {
			return err
		}
	}
	return l.waitLinked(ctx)
}

func (l *Lab) waitReady(ctx context.Context, p *Process) error {
	for ctx.Err() == nil {
		res, err := http.Get("http://" + l.Admin(p) + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Wrapf(ErrNotReady, "%s, log %s", p.Name, p.log)
}

// waitLinked waits until every router sees every agent serving.
func (l *Lab) waitLinked(ctx context.Context) error {
	for _, p := range l.Routers() {
		if !p.Running() {
			continue
		}
		for ctx.Err() == nil && l.serving(ctx, p) < len(l.servers) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if ctx.Err() != nil {
		return errors.Wrap(ErrNotReady, "links")
	}
	return nil
}

func (l *Lab) serving(ctx context.Context, p *Process) int {
	s, err := l.RouterState(ctx, p)
	if err != nil {
		return 0
	}
	n := 0
	for _, peer := range s.Peers {
		if peer.Role == "agent" && peer.Serving {
			n++
		}
	}
	return n
}

// RouterState reads the dump of a router.
func (l *Lab) RouterState(ctx context.Context, p *Process) (router.State, error) {
	return state[router.State](ctx, l.Admin(p))
}

// AgentState reads the dump of an agent.
func (l *Lab) AgentState(ctx context.Context, p *Process) (agent.State, error) {
	return state[agent.State](ctx, l.Admin(p))
}

func state[S any](ctx context.Context, admin string) (S, error) {
	var s S
	dump, err := operate.FetchState(ctx, admin)
	if err != nil {
		return s, err
	}
	err = json.Unmarshal(dump, &s)
	return s, errors.Wrap(err, "read state")
}

// ServerURL returns where the n-th stand-in server answers, without an agent.
func (l *Lab) ServerURL(n int) string { return "http://" + l.servers[n].Address.String() }

// Servers returns the backend servers, as a bundle names them.
func (l *Lab) Servers() []bundle.Server { return l.servers }
