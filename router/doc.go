// Package router is the daemon on an entry host. It takes callers' requests by
// HTTP, holds them until an agent claims them, sends them to that agent and
// streams the answers back. Some routers also share service counters as hubs
// and watch the platform for bundles.
//
//	r, err := router.New(settings, logger)
//	err = r.Run(ctx) // until ctx ends and everything that runs has finished
package router
