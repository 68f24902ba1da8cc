package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	drainAcceptTime   = 2500 * time.Millisecond
	shutdownReserve   = 300 * time.Millisecond // before the end of the grace
	drainPollInterval = 50 * time.Millisecond
	drainQuietPolls   = 8 // polls without a request, before the end
	// drainIdleTimeout is how long a connection must have been at rest to be closed
	// once the balancer sends no more: its caller then asks another router.
	drainIdleTimeout = 200 * time.Millisecond
	defaultGrace     = 8 * time.Second
)

// ready tells why the router takes no callers, or nil.
func (g *Gateway) ready() error {
	switch {
	case g.front.draining.Load():
		return errors.New("the router is ending")
	case g.core.pressure.WantsLessTraffic():
		return errors.New("the router has no processor time for more callers")
	case !g.feeds.Complete():
		return errors.New("no configuration or no list of servers has come yet")
	case g.rollouts != nil && !g.rollouts.Complete():
		return errors.New("it is not known yet which versions of each service are in use")
	}
	return nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// drain ends the router so that callers lose nothing: not ready at once, new
// connections served until the balancer has stopped sending them, requests
// under way to their end within the grace.
func (g *Gateway) drain() {
	start := time.Now()
	g.front.draining.Store(true)
	g.log.Event("drain").Int64("active", g.front.active.Load()).Msg("")
	grace := time.Duration(g.grace.Load())
	if grace <= 0 {
		grace = defaultGrace
	}
	time.Sleep(min(drainAcceptTime, grace/3))
	g.front.refusing.Store(true)
	// Requests may still lie unread where the router is late: it ends only
	// after nothing has come for a while.
	for quiet := 0; quiet < drainQuietPolls && time.Since(start) < grace-shutdownReserve; {
		time.Sleep(drainPollInterval)
		g.front.conns.closeIdle(drainIdleTimeout)
		quiet++
		if g.front.active.Load() > 0 || g.front.conns.hasUnreadRequests() || g.front.conns.hasPendingResponses() {
			quiet = 0
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/3)
	defer cancel()
	_ = g.server.Shutdown(ctx) // it fails where callers still hold connections; the process ends with them
}
