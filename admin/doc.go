// Package admin serves a process's operators: /metrics, /healthz, /readyz and
// /state, on an address of its own.
//
//	s := admin.New(admin.Source{Ready: ready, State: dump})
//	err := s.Serve(ctx, listener)
package admin
