// Package router implements the daemon of an entry host. It accepts callers'
// HTTP requests, queues them until an agent claims them, sends them to that
// agent and streams the responses back. Some routers are also hubs, which
// aggregate the teams' service counters, and some watch the platform for bundles.
//
//	r, err := router.New(settings, logger)
//	err = r.Run(ctx) // returns once ctx has ended and running requests have finished
package router
