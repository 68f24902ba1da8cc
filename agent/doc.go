// Package agent is the daemon beside one backend server. It decides, through
// sched, whose request runs next, and is the only process that calls the
// server.
//
//	a, err := agent.New(settings)
//	err = a.Run(ctx) // until ctx ends and everything that runs has finished
package agent
