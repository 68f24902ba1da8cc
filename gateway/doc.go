// Package gateway implements a router that calls backend servers directly, without an agent
// beside each server. It serves callers' requests on an entry host until their final
// responses.
//
// It makes no decisions about requests: package direct does. Package feed distributes the
// state that all routers share, package cluster exchanges messages between routers, and
// package pressure controls the router when it lacks processor time. Everything specific to
// a deployment (headers, objects, settings) is behind the interfaces Source and Dialect,
// which a translating package implements.
//
// Comments call a router late if its process gets too little processor time, so that its
// timers fire late and requests wait before it reads them.
//
//	g, err := gateway.New(settings, source, dialect, out)
//	err = g.Run(ctx)
package gateway
