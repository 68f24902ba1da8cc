// Package process holds what a router and an agent do alike as processes: they
// listen, load their keys, answer for their state, give signs of life on their
// links, and log why a duty ended.
//
//	ln, err := process.Listen("links", s.Links.String())
//	store, err := process.Keys(s.TLS)
package process
