package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	drainAcceptTime = 2500 * time.Millisecond // for new connections, after the router becomes unready
	shutdownReserve = 200 * time.Millisecond  // before the end of the grace period
	// answerReserve is how long before the end of the grace period every request in progress is answered,
	// beside answerLags times the lag of the process, but at most a fraction of the grace period.
	answerReserve     = 350 * time.Millisecond
	answerLags        = 4
	answerFraction    = 6
	drainPollInterval = 50 * time.Millisecond
	drainQuietPolls   = 8 // consecutive polls without a request before the router ends
	// drainIdleTimeout is how long a connection must have been idle to be closed once the
	// balancer sends no more: its caller then uses another router.
	drainIdleTimeout = 200 * time.Millisecond
	defaultGrace     = 8 * time.Second
)

// ready returns why the router accepts no callers, or nil.
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

// drain shuts the router down without losing requests. It becomes unready at once, takes requests until the
// balancer has stopped sending them, and completes those in progress within the grace period. What would not
// end within it is refused.
func (g *Gateway) drain() {
	start := g.core.Now()
	grace := time.Duration(g.grace.Load())
	if grace <= 0 {
		grace = defaultGrace
	}
	acceptUntil := start + min(drainAcceptTime, grace/3)
	g.front.stopping.begin(acceptUntil, start+grace-g.answerTime(grace))
	g.front.draining.Store(true)
	g.log.Event("drain").Int64("active", g.front.active.Load()).Msg("")
	g.cluster.Origins.Leave()
	g.awaitQuiet(start, acceptUntil, grace)
	g.front.stopping.stopLate(g.core.Now(), g.core.Now()) // also what is read from now on
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/3)
	defer cancel()
	_ = g.server.Shutdown(ctx) // it fails if callers still hold connections; the process ends with them
}

// awaitQuiet waits until the balancer sends no more and all requests in progress have ended. It stops those that
// would not end within the grace period, which began at start.
func (g *Gateway) awaitQuiet(start, acceptUntil, grace time.Duration) {
	// A late router may still have unread requests, so it ends only after several polls
	// without any request.
	for quietPolls := 0; quietPolls < drainQuietPolls && g.core.Now()-start < grace-shutdownReserve; {
		time.Sleep(drainPollInterval)
		g.front.stopping.stopLate(g.core.Now(), start+grace-g.answerTime(grace))
		if g.core.Now() < acceptUntil {
			continue
		}
		g.front.conns.closeIdle(drainIdleTimeout)
		quietPolls++
		if g.front.active.Load() > 0 || g.front.conns.hasUnreadRequests() || g.front.conns.hasPendingResponses() {
			quietPolls = 0
		}
	}
}

// answerTime returns the time before the end of the grace period that is left for the last responses.
func (g *Gateway) answerTime(grace time.Duration) time.Duration {
	return min(answerReserve+answerLags*g.core.pressure.Lag(), grace/answerFraction)
}
