// Package gateway is the router that calls backend servers itself, without an
// agent beside each: it serves callers on an entry host, takes configuration and
// servers from a Source, and shares what it does with the other routers.
//
// It decides nothing about requests: package direct does. What it knows of a
// deployment's names (headers, objects, settings) stands behind Source and
// Dialect, which a translating package brings.
//
//	g, err := gateway.New(settings, source, dialect, out)
//	err = g.Run(ctx)
package gateway
