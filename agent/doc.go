// Package agent implements the daemon beside one backend server. It schedules the
// teams' requests with package sched and is the only process that calls the
// server.
//
//	a, err := agent.New(settings, logger)
//	err = a.Run(ctx) // returns once ctx has ended and running requests have finished
package agent
