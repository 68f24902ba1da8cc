// Package gateway is the router that calls backend servers itself, without an
// agent beside each: it takes callers' requests on an entry host to their answers.
//
// It decides nothing about requests: package direct does. What all routers agree on
// comes through package feed, what they tell each other through package cluster, and
// package pressure is how the router behaves without processor time. What it knows of a
// deployment's names (headers, objects, settings) stands behind Source and
// Dialect, which a translating package brings.
//
//	g, err := gateway.New(settings, source, dialect, out)
//	err = g.Run(ctx)
package gateway
